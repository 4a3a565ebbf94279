#ifndef BLUEBELLBARROW_FLEETCLIENT_H
#define BLUEBELLBARROW_FLEETCLIENT_H

#include "kernel/clock.h"
#include "kernel/error.h"
#include "plugins/spread/controlmessages.h"
#include "tree/vmlist.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bluebellbarrow {

/** What a node said, or that it said nothing. */
struct NodeReport {
  Vm Node;
  std::optional<DigestMessage> Answer;
};

/**
 * Asks the nodes of a mesh as an observer: takes the VM list from one node and
 * sends every node one small datagram.
 *
 * Thread safety: none. Calls block.
 */
class FleetClient {
public:
  FleetClient(std::string Mesh, Address Peer, int ControlPort);

  /** Pulls the VM list from the peer. Errors: Unreachable, TimedOut. */
  Result<std::vector<Vm>> fetchVms(Duration Limit);

  /**
   * Asks \a Nodes and waits until all have answered, or for \a Limit. Sends
   * at most 4,000 datagrams a second.
   */
  std::vector<NodeReport> pollNodes(const std::vector<Vm> &Nodes,
                                    Duration Limit);

private:
  std::string Mesh;
  Address Peer;
  int ControlPort;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_FLEETCLIENT_H
