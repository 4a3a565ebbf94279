#ifndef BLUEBELLBARROW_TREE_ROUTECOMPILER_H
#define BLUEBELLBARROW_TREE_ROUTECOMPILER_H

#include "routetable.h"
#include "settingstree.h"

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace bluebellbarrow {

using SettingsTreePtr = std::shared_ptr<const SettingsTree>;

/**
 * Compiles the routes of trees for one failure domain. Branches that a tree
 * has in common with the one before are not compiled again, unless something
 * changed that they inherit.
 *
 * Thread safety: none; owned by one task.
 */
class RouteCompiler {
public:
  /** \a Base is used where a tree sets nothing. */
  RouteTablePtr compile(const SettingsTreePtr &Tree,
                        const FailureDomain &Domain, const Policy &Base);

private:
  /** Everything that the routes of a service inherit or refer to. */
  struct InheritedContext {
    FailureDomain Domain;
    Policy Base;
    std::vector<ServiceName> Services;

    /** Mesh, place, and for each service its branch and that in the place. */
    std::vector<const Branch *> Branches;

    bool operator==(const InheritedContext &) const = default; // NOLINT
  };

  /** Orders shared policies by their values. */
  struct LessPolicy {
    bool operator()(const std::shared_ptr<const Policy> &A,
                    const std::shared_ptr<const Policy> &B) const {
      return *A < *B;
    }
  };

  InheritedContext buildInheritedContext(const SettingsTree &Tree,
                                         const FailureDomain &Domain,
                                         const Policy &Base) const;
  RouteGroupPtr compileBranch(const SettingsTree &Tree, const Branch &Of,
                              size_t Service);
  std::vector<WeightedServiceIndex>
  resolveWeightedServices(const RouteDefinition &Route, size_t Own) const;
  std::shared_ptr<const Policy> internPolicy(Policy Value);

  InheritedContext Context;

  /** Keeps alive the branches that Groups refers to. */
  SettingsTreePtr LastTree;

  std::map<const Branch *, RouteGroupPtr> Groups;
  std::set<std::shared_ptr<const Policy>, LessPolicy> InternedPolicies;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_TREE_ROUTECOMPILER_H
