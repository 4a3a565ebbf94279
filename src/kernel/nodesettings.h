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

/** A value of a key that other parts of the program know. */
struct SettingsOverride {
  std::string Section;
  std::string Key;
  std::string Text;

  /** The value in the base unit of its type. */
  double NumericValue = 0;
};

/** What a VM grants the process. */
struct ResourceLimits {
  /** Part of a core. */
  double CpuCores = 1;

  /** Rate of the link, in Mbit/s. */
  double LinkMbps = 1000;
};

/** Settings of one process, from its INI file. */
struct NodeSettings {
  std::string Mesh;
  VmName Name;
  Address Ip;

  /** Address that the ports for other nodes are bound to. */
  Address BindIp;

  FailureDomain Domain;
  ServiceName Service;

  /** Threads that the node's tasks share: 1, or one for each. */
  int Threads = 1;

  /** Name of the adapter that reads the platform. */
  std::string PlatformProtocol;

  Endpoint PlatformEndpoint;
  Endpoint TargetEndpoint;
  std::string HealthPath;
  Endpoint CallerEndpoint;
  int PeerPort = 0;
  int ControlPort = 0;
  Endpoint AdminEndpoint;

  /** A second place that answers whether the node is ready. */
  std::optional<Endpoint> ReadyEndpoint;

  /** What the VM grants the process. */
  ResourceLimits Resources;

  std::vector<Address> Seeds;
  Duration PeerSilenceTimeout{};

  /** Time for which callers may still come after the process said it leaves. */
  Duration LeaveGracePeriod{};

  /** Time after which a stop no longer waits for requests. */
  Duration ShutdownTimeout{};

  LogOptions Log;

  /** Values of the sections that the caller of readNodeSettings() named. */
  std::vector<SettingsOverride> Overrides;
};

/** Returns every key of the file. Thread safety: safe. */
std::span<const KeySpec> nodeSettingsKeys();

/**
 * Reads and checks the file \a Path. Keys of \a Extra may stand there too.
 *
 * Errors: unknown key, wrong unit, duplicate, out of range or missing, with
 * file, line and key. Thread safety: safe.
 */
Result<NodeSettings> readNodeSettings(const std::string &Path,
                                      std::span<const KeySpec> Extra = {});

/** As readNodeSettings(), from a text. */
Result<NodeSettings> parseNodeSettings(const std::string &Name,
                                       const std::string &Text,
                                       std::span<const KeySpec> Extra = {});

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_NODESETTINGS_H
