#ifndef BLUEBELLBARROW_TREE_ROUTETABLE_H
#define BLUEBELLBARROW_TREE_ROUTETABLE_H

#include "kernel/hashindex.h"
#include "kernel/ids.h"
#include "policy.h"

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace bluebellbarrow {

/** A WeightedService of a compiled route, with an index instead of a name. */
struct WeightedServiceIndex {
  /** Index into Snapshot::Services. */
  size_t ServiceIndex = 0;

  /** Share of the requests, relative to the other weights of the route. */
  double Weight = 1;
};

/** A compiled route. */
struct RouteEntry {
  RouteName Name;

  /** Services that share the requests; at least one. */
  std::vector<WeightedServiceIndex> WeightedServices;

  /** Host that requests must name, in lower case; empty for any. */
  std::string Host;

  /** Method of the requests; empty for any. */
  std::string Method;

  std::string PathPrefix;

  /** Shared, because a tree has many routes but few distinct policies. */
  std::shared_ptr<const Policy> EffectivePolicy;
};

/** The compiled routes of one branch of kind Service or RouteGroup. */
using BranchRoutes = std::vector<RouteEntry>;

using BranchRoutesPtr = std::shared_ptr<const BranchRoutes>;

/**
 * The routes of a settings tree, indexed by what they match. Tables of versions
 * that have branches in common share the routes of these branches.
 *
 * Thread safety: immutable, safe.
 */
class RouteTable {
public:
  explicit RouteTable(std::vector<BranchRoutesPtr> RoutesByBranch);

  /**
   * Returns the route with the longest prefix of whole segments of \a Path, or
   * null. Among equal prefixes a route that names the host comes first, then
   * one that names the method. The time depends on the number of segments of
   * the path, not on the number of routes.
   */
  const RouteEntry *find(std::string_view Host, std::string_view Method,
                         std::string_view Path) const;

  const std::vector<BranchRoutesPtr> &routesByBranch() const {
    return this->RoutesByBranch;
  }

private:
  const RouteEntry *findExact(std::string_view Host, std::string_view Method,
                              std::string_view Prefix) const;

  std::vector<BranchRoutesPtr> RoutesByBranch;
  HashIndex<const RouteEntry *> Index;
};

using RouteTablePtr = std::shared_ptr<const RouteTable>;

/**
 * Returns a hash of what a route matches; equal for routes that match the same
 * requests.
 * Thread safety: safe.
 */
uint64_t matchHash(std::string_view Host, std::string_view Method,
                   std::string_view Prefix);

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_TREE_ROUTETABLE_H
