#ifndef BLUEBELLBARROW_FLEETCOMMANDS_H
#define BLUEBELLBARROW_FLEETCOMMANDS_H

#include "kernel/ids.h"

#include <cstdint>
#include <string>

namespace bluebellbarrow {

/** Which mesh to query, and how to print. */
struct FleetOptions {
  std::string Mesh;
  Address Peer;
  int ControlPort = 0;
  bool Json = false;
  double WaitSeconds = 0;
};

/** Prints state and version of every node; returns the exit code. */
int showStatus(const FleetOptions &Options);

/**
 * Waits until \a Version, or a newer one, is in force on every node that
 * responds. Returns ExitSuccess then, ExitFailure after WaitSeconds.
 */
int watchVersion(const FleetOptions &Options, uint64_t Version);

/** Prints the audit trail of the node with the admin endpoint \a Admin. */
int showAudit(const std::string &Admin, bool AsJson);

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_FLEETCOMMANDS_H
