#ifndef BLUEBELLBARROW_KERNEL_NODESETTINGS_H
#define BLUEBELLBARROW_KERNEL_NODESETTINGS_H

#include "clock.h"
#include "endpoint.h"
#include "error.h"
#include "ids.h"
#include "log.h"
#include "schema.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace bluebellbarrow {

/**
 * Value in the file of an extra key, one that another part of the program
 * specifies; see readNodeSettings().
 */
struct SettingsOverride {
  std::string Section;
  std::string Key;
  std::string Text;

  /** The value in the base unit of its type; 0 for a text. */
  double NumericValue = 0;
};

/** The part of the VM's resources that the process may use. */
struct ResourceLimits {
  /** CPU cores; may be a fraction. */
  double CpuCores = 1;

  /** Bandwidth of the network link, in Mbit/s. */
  double LinkMbps = 1000;

  /** Memory of the process, in bytes; 0 for unknown. */
  size_t MemoryBytes = 0;

  /** File descriptors of the process; 0 for unknown. */
  size_t Descriptors = 0;

  bool operator==(const ResourceLimits &) const = default;
};

/** Settings of one node process, from its INI file. */
struct NodeSettings {
  std::string Mesh;
  VmName Name;
  Address Ip;

  /** Address that the peer and control ports are bound to. */
  Address BindIp;

  FailureDomain Domain;
  ServiceName Service;

  /** 1 when all tasks share a thread; otherwise each task has its own. */
  int Threads = 1;

  /** Name of the platform adapter and of the call protocol. */
  std::string PlatformProtocol;

  Endpoint PlatformEndpoint;
  Endpoint TargetEndpoint;
  std::string HealthPath;
  Endpoint CallerEndpoint;
  int PeerPort = 0;
  int ControlPort = 0;
  Endpoint AdminEndpoint;

  /** Additional endpoint that answers /ready. */
  std::optional<Endpoint> ReadyEndpoint;

  ResourceLimits Resources;

  /** Nodes to query at the start. */
  std::vector<Address> Seeds;

  /**
   * Time without any reply from peers after which a starting node uses the
   * platform.
   */
  Duration PeerSilenceTimeout{};

  /** Time after the start of a shutdown for which calls are still accepted. */
  Duration LeaveGracePeriod{};

  /** Time after which a shutdown no longer waits for open requests. */
  Duration ShutdownTimeout{};

  LogOptions Log;

  /** Values of the extra keys that were passed to readNodeSettings(). */
  std::vector<SettingsOverride> Overrides;
};

/** Returns the keys of the file, without extra ones. Thread safety: safe. */
std::span<const KeySpec> nodeSettingsKeys();

/**
 * Reads and checks the file \a Path. The file may also hold the keys of
 * \a Extra.
 *
 * Errors: a file that can't be read; a syntax error; a key that is unknown,
 * duplicate, missing or out of range, or has a wrong unit. Each names the file,
 * and the line and the key if there are any. Thread safety: safe.
 */
Result<NodeSettings> readNodeSettings(const std::string &Path,
                                      std::span<const KeySpec> Extra = {});

/**
 * As readNodeSettings(), from \a Text; \a Name is the file name in error
 * messages. Thread safety: safe.
 */
Result<NodeSettings> parseNodeSettings(const std::string &Name,
                                       const std::string &Text,
                                       std::span<const KeySpec> Extra = {});

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_NODESETTINGS_H
