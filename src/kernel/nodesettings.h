#ifndef BLUEBELLBARROW_KERNEL_NODESETTINGS_H
#define BLUEBELLBARROW_KERNEL_NODESETTINGS_H

#include "clock.h"
#include "error.h"
#include "ids.h"
#include "log.h"
#include "schema.h"

#include <span>
#include <string>
#include <vector>

namespace bluebellbarrow {

/** Settings of one process, from its INI file. */
struct NodeSettings {
  std::string Mesh;
  VmName Name;
  Address Ip;
  FailureDomain Domain;
  ServiceName Service;

  Address PlatformIp;
  int PlatformPort = 0;

  Address TargetIp;
  int TargetPort = 0;
  std::string HealthPath;

  /** Extra headers that are handed on in both directions. */
  std::vector<std::string> ForwardHeaders;

  int CallerPort = 0;
  int PeerPort = 0;
  int ControlPort = 0;
  Address AdminIp;
  int AdminPort = 0;

  std::vector<Address> Seeds;
  Duration BootSilence{};

  /** Time for which callers may still come after the process said it leaves. */
  Duration LeaveTime{};

  /** Time after which a stop no longer waits for requests. */
  Duration StopLimit{};

  LogOptions Log;
};

/** Returns every key of the file. Thread safety: safe. */
std::span<const KeySpec> nodeSettingsKeys();

/**
 * Reads and checks the file \a Path.
 *
 * Errors: unknown key, wrong unit, duplicate, out of range or missing, with
 * file, line and key. Thread safety: safe.
 */
Result<NodeSettings> readNodeSettings(const std::string &Path);

/** As readNodeSettings(), from a text. */
Result<NodeSettings> parseNodeSettings(const std::string &Name,
                                       const std::string &Text);

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_NODESETTINGS_H
