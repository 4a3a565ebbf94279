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
 * A whole tree of settings that passed every check.
 *
 * Values are looked up from general to particular: mesh, place, service, the
 * service in the place, route, the route in the place; the last one wins.
 *
 * Thread safety: immutable, safe.
 */
class SettingsTree {
public:
  /**
   * Parses and checks a whole tree.
   *
   * Errors: every fault found in the branches, or between them: a branch
   * without a parent, an unknown service, a cycle between services, two routes
   * with one match.
   */
  static std::vector<Error> check(const BranchTexts &Texts);

  /**
   * Checks what is between branches and returns the tree. The error is the
   * first fault.
   */
  static Result<std::shared_ptr<const SettingsTree>> build(BranchMap Parsed);

  /** Parses and checks a whole tree; the error is the first of check(). */
  static Result<std::shared_ptr<const SettingsTree>>
  parse(const BranchTexts &Texts);

  const std::string &meshName() const;

  const BranchMap &branches() const { return this->Branches; }

  /** Returns the branch at \a Path, or null. */
  const Branch *find(const std::string &Path) const;

  /** Returns the names of all services, sorted. */
  std::vector<ServiceName> services() const;

  /** Returns the routes of \a Service, with those of its groups. */
  const std::vector<const RouteDefinition *> &
  routes(const ServiceName &Service) const;

  /**
   * Returns the policy of a route, or of a service for an empty route, where
   * no branch sets a value that of \a Base.
   */
  Policy policy(const FailureDomain &Place, const ServiceName &Service,
                const RouteName &Route,
                const Policy &Base = defaultPolicy()) const;

  /**
   * Returns the policy of \a Route, where \a Common is that of its service:
   * policy() in parts, for many routes.
   */
  Policy routePolicy(const FailureDomain &Place, const ServiceName &Service,
                     const RouteDefinition &Route, const Policy &Common) const;

  SpreadPolicy
  spreadPolicy(const FailureDomain &Place,
               const SpreadPolicy &Base = defaultSpreadPolicy()) const;

  CallerLimits callerLimits(const FailureDomain &Place) const;

  /** Returns each value of policy() and where it comes from. */
  std::vector<EffectiveValue> explain(const FailureDomain &Place,
                                      const ServiceName &Service,
                                      const RouteName &Route) const;

private:
  struct Layer {
    std::string Source;
    const std::vector<FieldOverride> *Overrides;
  };

  /** A route with the branch that holds it. */
  struct RouteOwner {
    const RouteDefinition *Route = nullptr;
    const Branch *Owner = nullptr;
  };

  void indexRoutes();
  std::vector<Error> findFaults() const;
  const RouteOwner *findRoute(const ServiceName &Service,
                              const RouteName &Route) const;
  std::vector<Layer> collectLayers(const FailureDomain &Place,
                                   const ServiceName &Service,
                                   const RouteName &Route) const;
  void checkParents(std::vector<Error> &Faults) const;
  void checkRoutes(std::vector<Error> &Faults) const;
  void checkMatches(std::vector<Error> &Faults) const;
  void checkReferences(const Branch &In, const RouteDefinition &Route,
                       std::vector<Error> &Faults) const;
  void checkCycles(std::vector<Error> &Faults) const;

  BranchMap Branches;
  std::map<ServiceName, std::vector<const RouteDefinition *>> RoutesByService;

  /** Routes of services by service and name. */
  HashIndex<RouteOwner> RouteIndex;

  /** Some routes of services may match the same requests. */
  bool MayHaveDuplicateMatches = false;
};

/**
 * Reads every ".ini" file below \a Directory; the paths are relative to it
 * and have no ending. Errors: the file that can't be read, or a file that is
 * no branch.
 */
Result<BranchTexts> readBranchTexts(const std::string &Directory);

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_TREE_SETTINGSTREE_H
