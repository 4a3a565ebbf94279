#ifndef BLUEBELLBARROW_TREE_SETTINGSTREE_H
#define BLUEBELLBARROW_TREE_SETTINGSTREE_H

#include "branch.h"
#include "kernel/hashindex.h"
#include "policy.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bluebellbarrow {

/** The text of each branch by its path. */
using BranchTexts = std::map<std::string, std::string>;

/** A parsed branch; shared, since versions have most branches in common. */
using BranchPtr = std::shared_ptr<const Branch>;

/** Parsed branches by their path. */
using BranchMap = std::map<std::string, BranchPtr>;

/** One effective value and the branch it comes from. */
struct EffectiveValue {
  std::string Key;
  std::string Text;

  /** Path of the branch, with the route's name where the route sets it. */
  std::string Source;

  /** Line in the branch's file; 0 for a default. */
  int Line = 0;
};

/**
 * A complete settings tree that passed every check.
 *
 * Values are looked up from general to specific: mesh, failure domain, service,
 * the service in the domain, route, the route in the domain; the last one wins.
 *
 * Thread safety: immutable, safe.
 */
class SettingsTree {
public:
  /**
   * Parses and checks a complete tree.
   *
   * Errors: the first fault of each branch, or, if all branches are valid,
   * every fault between them: a branch without a parent, an unknown service, a
   * cycle between services, a route that is defined twice, two routes with the
   * same match.
   */
  static std::vector<Error> check(const BranchTexts &Texts);

  /**
   * Builds a tree from parsed branches and checks the references between them.
   * The error is the first fault.
   */
  static Result<std::shared_ptr<const SettingsTree>> build(BranchMap Parsed);

  /** Parses and checks a complete tree; the error is the first of check(). */
  static Result<std::shared_ptr<const SettingsTree>>
  parse(const BranchTexts &Texts);

  const std::string &meshName() const;

  const BranchMap &branches() const { return this->Branches; }

  /** Returns the branch at \a Path, or null. */
  const Branch *find(const std::string &Path) const;

  /** Returns the names of all services, sorted. */
  std::vector<ServiceName> services() const;

  /** Returns the routes of \a Service, including those of its groups. */
  const std::vector<const RouteDefinition *> &
  routes(const ServiceName &Service) const;

  /**
   * Returns the effective policy of a route, or of the service if \a Route is
   * empty. \a Defaults apply where no branch sets a value.
   */
  Policy policy(const FailureDomain &Domain, const ServiceName &Service,
                const RouteName &Route,
                const Policy &Defaults = defaultPolicy()) const;

  /**
   * Returns the effective policy of \a Route, given that of its service. The
   * result is that of policy(); a caller resolves the service's values only
   * once for all its routes.
   */
  Policy routePolicy(const FailureDomain &Domain, const ServiceName &Service,
                     const RouteDefinition &Route,
                     const Policy &ServicePolicy) const;

  SpreadPolicy
  spreadPolicy(const FailureDomain &Domain,
               const SpreadPolicy &Defaults = defaultSpreadPolicy()) const;

  CallerLimits callerLimits(const FailureDomain &Domain) const;

  /**
   * Returns each value of policy(), with the schema's defaults, and the branch
   * that sets it.
   */
  std::vector<EffectiveValue> explain(const FailureDomain &Domain,
                                      const ServiceName &Service,
                                      const RouteName &Route) const;

private:
  /** Overrides of one branch or route. */
  struct Layer {
    std::string Source;
    const std::vector<FieldOverride> *Overrides;
  };

  /** A route and the branch that defines it. */
  struct OwnedRoute {
    const RouteDefinition *Route = nullptr;
    const Branch *Owner = nullptr;
  };

  void indexRoutes();
  std::vector<Error> findFaults() const;
  const OwnedRoute *findRoute(const ServiceName &Service,
                              const RouteName &Route) const;
  std::vector<Layer> collectLayers(const FailureDomain &Domain,
                                   const ServiceName &Service,
                                   const RouteName &Route) const;
  void checkParents(std::vector<Error> &Faults) const;
  void checkRoutes(std::vector<Error> &Faults) const;
  void checkMatches(std::vector<Error> &Faults) const;
  void checkReferences(const Branch &Owner, const RouteDefinition &Route,
                       std::vector<Error> &Faults) const;
  void checkCycles(std::vector<Error> &Faults) const;

  BranchMap Branches;
  std::map<ServiceName, std::vector<const RouteDefinition *>> RoutesByService;

  /** Routes of services by service and name. */
  HashIndex<OwnedRoute> RouteIndex;

  /** True if two routes have the same matchHash(), so may match the same. */
  bool MayHaveDuplicateMatches = false;
};

/** A settings tree, shared by everything that is compiled from it. */
using SettingsTreePtr = std::shared_ptr<const SettingsTree>;

/**
 * Reads every ".ini" file below \a Directory; the paths are relative to it
 * and have no extension. Errors: a file that can't be read, or one with another
 * extension.
 */
Result<BranchTexts> readBranchTexts(const std::string &Directory);

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_TREE_SETTINGSTREE_H
