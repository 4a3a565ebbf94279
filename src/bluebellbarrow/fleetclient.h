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

/** The VM list of one node. */
struct FetchedList {
  VersionId Version;
  ListContent Content;
};

/** A node and its response to a digest query, if it sent one. */
struct NodeReport {
  Vm Node;
  std::optional<DigestMessage> Response;
};

/**
 * Queries the nodes of a mesh without being a member: fetches the VM list from
 * one node and sends every node one digest query as a datagram.
 *
 * Thread safety: none. Calls block.
 */
class FleetClient {
public:
  /**
   * \a Mesh is the name of the mesh, \a Peer the node that fetchVms() asks and
   * \a ControlPort the control port of every node.
   */
  FleetClient(std::string Mesh, Address Peer, int ControlPort);

  /**
   * Fetches the VM list from the peer, with the evacuated domains as the
   * platform lists them.
   *
   * Errors: Unreachable if no valid VM list arrived within \a Timeout or before
   * the connection closed, BadSyntax for a malformed part.
   */
  Result<FetchedList> fetchList(Duration Timeout);

  /** Returns the VMs of fetchList(). */
  Result<std::vector<Vm>> fetchVms(Duration Timeout);

  /**
   * Queries \a Nodes and waits until all have responded or \a Timeout has
   * passed. Returns one report per node, in the same order. Sends at most 4,000
   * datagrams per second.
   */
  std::vector<NodeReport> pollNodes(const std::vector<Vm> &Nodes,
                                    Duration Timeout);

private:
  std::string Mesh;
  Address Peer;
  int ControlPort;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_FLEETCLIENT_H
