#ifndef BLUEBELLBARROW_SPREAD_READORDER_H
#define BLUEBELLBARROW_SPREAD_READORDER_H

#include "plugins/membership/membership.h"
#include "topology.h"

#include <vector>

namespace bluebellbarrow {

/**
 * The order in which nodes read the platform: that of the topology, except
 * that slow readers, which announce that a full read takes them long, come
 * after all others. Nodes that know the same VM list and announcements agree on
 * it.
 *
 * Thread safety: none; reads the objects that it refers to.
 */
class ReadOrder {
public:
  /** \pre both outlive the order. */
  ReadOrder(const Topology &Nodes, const Membership &Members)
      : Nodes(Nodes), Members(Members) {}

  /** Returns the number of nodes. */
  size_t size() const { return this->Nodes.size(); }

  /**
   * Returns the position of \a Name, from 0, with size() added for a slow
   * reader; the largest size_t if not listed.
   */
  size_t position(const VmName &Name) const;

  /** Returns the first \a Count nodes that come before \a Name. */
  std::vector<VmName> nodesBefore(const VmName &Name, size_t Count) const;

  /** Returns the first \a Count nodes. */
  std::vector<VmName> firstNodes(size_t Count) const;

  /**
   * Returns the first node of \a Domain after \a Previous, or its first node
   * when \a Previous is empty; null when there is none.
   */
  const Vm *firstInDomain(const FailureDomain &Domain,
                          const VmName &Previous) const;

private:
  bool isSlowReader(const VmName &Name) const;
  std::vector<VmName> firstNodesBefore(size_t EndPosition, size_t Count) const;

  const Topology &Nodes;
  const Membership &Members;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_SPREAD_READORDER_H
