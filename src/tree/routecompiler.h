#ifndef BLUEBELLBARROW_TREE_ROUTECOMPILER_H
#define BLUEBELLBARROW_TREE_ROUTECOMPILER_H

#include "routetable.h"
#include "settingstree.h"

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace bluebellbarrow {

/**
 * Compiles the routes of successive settings trees for one failure domain.
 * Branches that a tree shares with the previous one are not compiled again
 * unless something that they inherit has changed.
 *
 * Thread safety: none; owned by one task.
 */
class RouteCompiler {
public:
  /**
   * Returns the routes of \a Tree with the values that apply in \a Domain.
   * \a Defaults apply where the tree sets no value.
   */
  RouteTablePtr compile(const SettingsTreePtr &Tree,
                        const FailureDomain &Domain, const Policy &Defaults);

private:
  /** Everything that the routes of a service inherit or refer to. */
  struct InheritedContext {
    FailureDomain Domain;
    Policy Defaults;
    std::vector<ServiceName> Services;

    /**
     * The branches of the mesh and the domain, then for each service its branch
     * and its branch in the domain; null for an absent one.
     */
    std::vector<const Branch *> Branches;

    bool operator==(const InheritedContext &) const = default; // NOLINT
  };

  /** Orders shared policies by value. */
  struct LessPolicy {
    bool operator()(const std::shared_ptr<const Policy> &A,
                    const std::shared_ptr<const Policy> &B) const {
      return *A < *B;
    }
  };

  InheritedContext buildInheritedContext(const SettingsTree &Tree,
                                         const FailureDomain &Domain,
                                         const Policy &Defaults) const;
  BranchRoutesPtr compileBranch(const SettingsTree &Tree, const Branch &Source,
                                size_t ServiceIndex);
  std::vector<WeightedServiceIndex>
  resolveWeightedServices(const RouteDefinition &Route,
                          size_t DefaultIndex) const;
  std::shared_ptr<const Policy> internPolicy(Policy Value);

  InheritedContext Context;

  /** Keeps the branches alive that are the keys of CompiledBranches. */
  SettingsTreePtr LastTree;

  /** Compiled routes of the branches of LastTree. */
  std::map<const Branch *, BranchRoutesPtr> CompiledBranches;
  std::set<std::shared_ptr<const Policy>, LessPolicy> InternedPolicies;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_TREE_ROUTECOMPILER_H
