#ifndef BLUEBELLBARROW_SPREAD_TOPOLOGY_H
#define BLUEBELLBARROW_SPREAD_TOPOLOGY_H

#include "tree/vmlist.h"

#include <cstdint>
#include <map>
#include <random>
#include <vector>

namespace bluebellbarrow {

/**
 * The nodes of the VM list as the spread sees them: in each failure domain a
 * fixed order, which gives ranks and a tree without any message. A VM counts
 * once, however many targets are listed on it.
 *
 * Method: rendezvous hashing of the domain's name and the VM's name.
 * Thread safety: immutable but for the caller's random source.
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
   * Returns the place of \a Name in the order in which nodes may read the
   * platform: by rank, and for one rank by domain. size() if unlisted.
   */
  size_t readPosition(const VmName &Name) const;

  /** Returns the VM at a place of that order. \pre \a Place < size(). */
  const Vm &vmAtReadPosition(size_t Place) const {
    return this->All[this->ReadSequence[Place]];
  }

  /** Returns the nodes of this node's domain by rank. */
  const std::vector<Vm> &domainMembers() const { return this->DomainMembers; }

  /**
   * Returns the children of the node at \a Ip in a tree of this domain: its
   * other nodes by rank below \a Root. The first node by rank is the root
   * where \a Root is not in the domain. No children for an unknown node.
   */
  std::vector<Address> children(const Address &Ip, const Address &Root,
                                size_t FanOut) const;

  /** Returns this node's children in the tree of the first node by rank. */
  std::vector<Address> localChildren(size_t FanOut) const;

  /** Returns the rank of the node at \a Ip; the domain's size if unknown. */
  size_t domainRank(const Address &Ip) const;

  /** Returns the first node by rank of each other domain. */
  std::vector<Address> remoteRoots() const;

  /** Returns the VM at \a Ip, or null. */
  const Vm *findByAddress(const Address &Ip) const;

  const Vm *findByName(const VmName &Name) const;

  /** Draws a node of this domain other than this one; null if none. */
  const Vm *drawDomainPeer(std::mt19937_64 &Random) const;

  /** Draws a node of another domain; null if none. */
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

  /** Indices of All in the order of reading, and the places in it. */
  std::vector<uint32_t> ReadSequence;
  std::vector<uint32_t> ReadPositions;

  size_t LocalRank = 0;

  VmName Self;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_SPREAD_TOPOLOGY_H
