#ifndef BLUEBELLBARROW_SPREAD_TOPOLOGY_H
#define BLUEBELLBARROW_SPREAD_TOPOLOGY_H

#include "tree/vmlist.h"

#include <cstdint>
#include <map>
#include <random>
#include <vector>

namespace bluebellbarrow {

/**
 * The nodes of the VM list, ordered for dissemination: each failure domain has
 * a fixed order, from which every node derives the same ranks and tree without
 * any message. A VM counts once, however many targets are listed on it.
 *
 * Method: rendezvous hashing of the domain's name and the VM's name.
 * Thread safety: immutable; draws change the caller's random source.
 */
class Topology {
public:
  Topology() = default;

  Topology(const std::vector<Vm> &Vms, const VmName &Self,
           const FailureDomain &Domain);

  /** Returns the number of nodes of all domains. */
  size_t size() const { return this->All.size(); }

  /** Returns this node's rank in its domain; the domain's size if unlisted. */
  size_t localRank() const { return this->LocalRank; }

  /** Returns true when this node is in the list. */
  bool isListed() const { return this->LocalRank < this->DomainMembers.size(); }

  /**
   * Returns the position of \a Name in the fleet-wide read order: by rank, and
   * by domain among nodes of one rank. size() if unlisted.
   */
  size_t readPosition(const VmName &Name) const;

  /** Returns the VM at a position of that order. \pre \a Position < size(). */
  const Vm &vmAtReadPosition(size_t Position) const {
    return this->All[this->ReadSequence[Position]];
  }

  /** Returns the nodes of this node's domain by rank. */
  const std::vector<Vm> &domainMembers() const { return this->DomainMembers; }

  /**
   * Returns the children of the node at \a Ip in the tree of this domain that
   * has \a Root at its top and the other nodes below it by rank. The first node
   * by rank is the root where \a Root is not in the domain. Leaves out this
   * node. Returns none for an unknown node.
   */
  std::vector<Address> children(const Address &Ip, const Address &Root,
                                size_t FanOut) const;

  /**
   * Returns this node's children in the tree that has the first node by rank at
   * its top.
   */
  std::vector<Address> localChildren(size_t FanOut) const;

  /** Returns the rank of the node at \a Ip; the domain's size if unknown. */
  size_t domainRank(const Address &Ip) const;

  /** Returns the first node by rank of each other domain. */
  std::vector<Address> remoteRoots() const;

  /** Returns the VM at \a Ip, or null. */
  const Vm *findByAddress(const Address &Ip) const;

  const Vm *findByName(const VmName &Name) const;

  /** Draws a random other node of this domain; null if there is none. */
  const Vm *drawDomainPeer(std::mt19937_64 &Random) const;

  /** Draws a random node of another domain; null if there is none. */
  const Vm *drawRemotePeer(std::mt19937_64 &Random) const;

  const std::vector<Vm> &all() const { return this->All; }

private:
  using Domains = std::map<FailureDomain, std::vector<Vm>>;

  void buildReadOrder(const Domains &Members);

  std::vector<Vm> All;
  std::vector<Vm> DomainMembers;
  std::vector<Vm> RemoteMembers;
  std::vector<Address> RemoteRoots;
  std::map<Address, size_t> ByAddress;
  std::map<Address, size_t> DomainRanks;
  std::map<VmName, size_t> ByName;

  /** Indices into All, in the read order. */
  std::vector<uint32_t> ReadSequence;

  /** Position in the read order of each element of All. */
  std::vector<uint32_t> ReadPositions;

  size_t LocalRank = 0;

  VmName Self;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_SPREAD_TOPOLOGY_H
