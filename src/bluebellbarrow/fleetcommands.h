#ifndef BLUEBELLBARROW_FLEETCOMMANDS_H
#define BLUEBELLBARROW_FLEETCOMMANDS_H

#include "kernel/ids.h"

#include <cstdint>
#include <string>

namespace bluebellbarrow {

/** Options of the commands that query a mesh. */
struct FleetOptions {
  std::string Mesh;

  /** Node from which the VM list is fetched. */
  Address Peer;

  /** Control port of every node. */
  int ControlPort = 0;

  /** True to print JSON instead of a table. */
  bool Json = false;

  /** Maximum time that watchVersion() waits, in seconds. */
  double WaitSeconds = 0;
};

/**
 * Prints the state and the configuration version of every node; returns the
 * exit code.
 */
int showStatus(const FleetOptions &Options);

/**
 * Waits until \a Version, or a newer one, is in force on every node that
 * responds. Returns ExitSuccess then, ExitFailure after WaitSeconds, and
 * ExitInvalidInput if an option is missing.
 */
int watchVersion(const FleetOptions &Options, uint64_t Version);

/** Prints the audit trail of the node with the admin endpoint \a Admin. */
int showAudit(const std::string &Admin, bool AsJson);

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_FLEETCOMMANDS_H
