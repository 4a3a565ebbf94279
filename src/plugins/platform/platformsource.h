#ifndef BLUEBELLBARROW_PLATFORM_PLATFORMSOURCE_H
#define BLUEBELLBARROW_PLATFORM_PLATFORMSOURCE_H

#include "kernel/endpoint.h"
#include "kernel/registry.h"
#include "plugins/spread/disseminatoractions.h"

#include <functional>
#include <string>

namespace bluebellbarrow {

class Task;

/** Outcome of a read of the platform. */
enum class ReadStatus { Found, Unchanged, NotFound, Failed };

/** Result of a read of the platform. */
struct ReadResult {
  ReadStatus Status = ReadStatus::Failed;
  uint64_t Revision = 0;

  /** Manifest, VM list or blob when Status is Found. */
  std::string Text;

  /** Reason of the failure when Status is Failed. */
  std::string Cause;
};

/** The platform's endpoint, and the task, IP address and mesh of the reader. */
struct PlatformSourceOptions {
  Task &Owner;
  Address LocalIp;
  Endpoint Platform;
  std::string Mesh;
};

/**
 * Reads manifests, VM lists and the parts of versions from a platform of one
 * kind. Each read calls its Done once, never from within read() or readBlob().
 *
 * Thread safety: none; owned by one task.
 */
class PlatformSource {
public:
  using Done = std::function<void(const ReadResult &)>;

  virtual ~PlatformSource() = default;

  /**
   * Reads the manifest or the VM list, or waits until it has changed since the
   * revision in \a Request.
   */
  virtual void read(const ReadPlatform &Request, Done OnDone) = 0;

  /** Returns true when no read returns an older state than an earlier read. */
  virtual bool hasMonotonicReads() const { return false; }

  /** Reads an immutable value that a manifest refers to. */
  virtual void readBlob(const Digest &Hash, Done OnDone) = 0;
};

/** Kinds of platform source by their name in the node's settings. */
using PlatformSourceRegistry =
    Registry<PlatformSource, const PlatformSourceOptions &>;

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_PLATFORM_PLATFORMSOURCE_H
