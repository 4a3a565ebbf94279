#ifndef BLUEBELLBARROW_PLATFORM_PUBLISHEDSOURCE_H
#define BLUEBELLBARROW_PLATFORM_PUBLISHEDSOURCE_H

#include "kernel/httpclient.h"
#include "platformsource.h"

#include <deque>

namespace bluebellbarrow {

/**
 * Reads a platform that publishes in the product's own form, as
 * docs/PLATFORM.md describes it.
 *
 * Thread safety: none; owned by one task.
 */
class PublishedSource : public PlatformSource {
public:
  /** \pre the task of \a Options outlives the source. */
  explicit PublishedSource(const PlatformSourceOptions &Options);

  void read(const ReadPlatform &What, Done OnDone) override;

  /** Reads over the limit wait for their turn. */
  void readBlob(const Digest &Hash, Done OnDone) override;

private:
  struct PendingRead {
    std::string Target;
    Done OnDone;
  };

  static ReadResult toResult(const CallResult &Result);
  void startBlobRead(const std::string &Target, Done OnDone);

  Task &Owner;
  HttpClient WatchClient;
  HttpClient BlobClient;
  std::string Host;
  std::deque<PendingRead> PendingReads;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_PLATFORM_PUBLISHEDSOURCE_H
