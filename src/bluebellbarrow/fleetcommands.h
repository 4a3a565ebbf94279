#ifndef BLUEBELLBARROW_FLEETCOMMANDS_H
#define BLUEBELLBARROW_FLEETCOMMANDS_H

#include "kernel/ids.h"

#include <cstdint>
#include <string>

namespace bluebellbarrow {

/** Which mesh to ask, and how to print. */
struct FleetOptions {
  std::string Mesh;
  Address Peer;
  int ControlPort = 0;
  bool Json = false;
  double WaitSeconds = 0;
};

/** Prints what every node says; returns the exit code. */
int showStatus(const FleetOptions &Options);

/**
 * Waits until \a Version, or a newer one, is in force on every node that
 * answers. Returns ExitGood then, ExitFailed when the wait is over.
 */
int watchVersion(const FleetOptions &Options, uint64_t Version);

/** Prints the audit trail of the node whose admin is at \a Admin. */
int showAudit(const std::string &Admin, bool Json);

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_FLEETCOMMANDS_H
