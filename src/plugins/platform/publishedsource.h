#ifndef BLUEBELLBARROW_PLATFORM_PUBLISHEDSOURCE_H
#define BLUEBELLBARROW_PLATFORM_PUBLISHEDSOURCE_H

#include "kernel/httpclient.h"
#include "platformsource.h"

#include <deque>

namespace bluebellbarrow {

/**
 * Reads a platform that implements the product's own HTTP interface, which
 * docs/PLATFORM.md describes.
 *
 * Thread safety: none; owned by one task.
 */
class PublishedSource : public PlatformSource {
public:
  /** \pre the task of \a Options outlives the source. */
  explicit PublishedSource(const PlatformSourceOptions &Options);

  void read(const ReadPlatform &Request, Done OnDone) override;

  /** Queues the read while every slot of the blob client is busy. */
  void readBlob(const Digest &Hash, Done OnDone) override;

private:
  /** A read that waits for a slot of the blob client. */
  struct QueuedBlobRead {
    std::string RequestTarget;
    Done OnDone;
  };

  static ReadResult toReadResult(const CallResult &Result);
  void startBlobRead(const std::string &RequestTarget, Done OnDone);

  Task &Owner;
  HttpClient WatchClient;
  HttpClient BlobClient;
  std::string Host;
  std::deque<QueuedBlobRead> QueuedBlobReads;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_PLATFORM_PUBLISHEDSOURCE_H
