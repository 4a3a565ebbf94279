#ifndef BLUEBELLBARROW_PLATFORM_PLATFORMCLIENT_H
#define BLUEBELLBARROW_PLATFORM_PLATFORMCLIENT_H

#include "kernel/httpclient.h"
#include "plugins/spread/spreadactions.h"

#include <deque>
#include <functional>
#include <string>

namespace bluebellbarrow {

/** How a read of the platform ended. */
enum class ReadEnd { Value, Unchanged, Missing, Failed };

/** The end of a read. */
struct ReadResult {
  ReadEnd End = ReadEnd::Failed;
  uint64_t Revision = 0;
  std::string Text;

  /** What went wrong, when End is Failed. */
  std::string Cause;
};

/** Where the platform is. */
struct PlatformClientOptions {
  Address LocalIp;
  Address Ip;
  int Port = 0;
};

/**
 * Reads the platform as docs/PLATFORM.md describes.
 *
 * Thread safety: none; owned by one task.
 */
class PlatformClient {
public:
  using Done = std::function<void(const ReadResult &)>;

  /** \pre \a Owner outlives the client. */
  PlatformClient(Task &Owner, const PlatformClientOptions &Options);

  /** Reads or watches the manifest or the VM list. */
  void read(const ReadPlatform &What, Done OnDone);

  /** Reads an immutable value. Reads over the limit wait for their turn. */
  void readPart(const Digest &Hash, Done OnDone);

private:
  struct Waiting {
    std::string Target;
    Done OnDone;
  };

  static ReadResult toResult(const CallResult &Result);
  void startPart(const std::string &Target, Done OnDone);

  HttpClient Watches;
  HttpClient Parts;
  std::deque<Waiting> Queue;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_PLATFORM_PLATFORMCLIENT_H
