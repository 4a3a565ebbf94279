#ifndef BLUEBELLBARROW_PLATFORM_PLATFORMSOURCE_H
#define BLUEBELLBARROW_PLATFORM_PLATFORMSOURCE_H

#include "kernel/endpoint.h"
#include "kernel/registry.h"
#include "plugins/spread/disseminatoractions.h"

#include <functional>
#include <string>

namespace bluebellbarrow {

class Task;

/** How a read of the platform ended. */
enum class ReadStatus { Found, Unchanged, NotFound, Failed };

/** The end of a read. */
struct ReadResult {
  ReadStatus Status = ReadStatus::Failed;
  uint64_t Revision = 0;
  std::string Text;

  /** What went wrong, when End is Failed. */
  std::string Cause;
};

/** Where the platform is, and who reads it. */
struct PlatformSourceOptions {
  Task &Owner;
  Address LocalIp;
  Endpoint Platform;
  std::string Mesh;
};

/**
 * Reads manifests, VM lists and the parts of versions from a platform of one
 * kind. Each read ends with one call of its Done, never within read().
 *
 * Thread safety: none; owned by one task.
 */
class PlatformSource {
public:
  using Done = std::function<void(const ReadResult &)>;

  virtual ~PlatformSource() = default;

  /** Reads or watches the manifest or the VM list. */
  virtual void read(const ReadPlatform &What, Done OnDone) = 0;

  /** Returns true when no read ever shows less than one before. */
  virtual bool hasMonotonicReads() const { return false; }

  /** Reads an immutable value that a manifest names. */
  virtual void readBlob(const Digest &Hash, Done OnDone) = 0;
};

/** The ways to read a platform, by the name in the node's settings. */
using PlatformSourceRegistry =
    Registry<PlatformSource, const PlatformSourceOptions &>;

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_PLATFORM_PLATFORMSOURCE_H
