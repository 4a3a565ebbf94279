#include "routecompiler.h"

#include "branchpath.h"

#include <algorithm>

namespace bluebellbarrow {

namespace {

bool definesRoutes(const Branch &Source) {
  return Source.Kind == BranchKind::Service ||
         Source.Kind == BranchKind::RouteGroup;
}

} // namespace

RouteCompiler::InheritedContext
RouteCompiler::buildInheritedContext(const SettingsTree &Tree,
                                     const FailureDomain &Domain,
                                     const Policy &Defaults) const {
  InheritedContext Inherited{
      .Domain = Domain, .Defaults = Defaults, .Services = Tree.services()};
  Inherited.Branches = {Tree.find(MeshPath), Tree.find(domainPath(Domain))};
  for (const ServiceName &Name : Inherited.Services) {
    Inherited.Branches.push_back(Tree.find(servicePath(Name)));
    Inherited.Branches.push_back(Tree.find(domainServicePath(Domain, Name)));
  }
  return Inherited;
}

RouteTablePtr RouteCompiler::compile(const SettingsTreePtr &Tree,
                                     const FailureDomain &Domain,
                                     const Policy &Defaults) {
  InheritedContext NewContext =
      this->buildInheritedContext(*Tree, Domain, Defaults);
  if (!(NewContext == this->Context)) {
    this->CompiledBranches.clear();
    this->InternedPolicies.clear();
    this->Context = std::move(NewContext);
  }
  std::map<const Branch *, BranchRoutesPtr> CurrentBranches;
  std::vector<BranchRoutesPtr> OrderedRoutes;
  const std::vector<ServiceName> &Services = this->Context.Services;
  for (const auto &[Path, Source] : Tree->branches()) {
    if (!definesRoutes(*Source) || Source->Routes.empty())
      continue;
    const auto ServicePosition =
        std::lower_bound(Services.begin(), Services.end(), Source->Service);
    const auto Cached = this->CompiledBranches.find(Source.get());
    BranchRoutesPtr Routes =
        Cached != this->CompiledBranches.end()
            ? Cached->second
            : this->compileBranch(
                  *Tree, *Source,
                  static_cast<size_t>(ServicePosition - Services.begin()));
    CurrentBranches.emplace(Source.get(), Routes);
    OrderedRoutes.push_back(std::move(Routes));
  }
  this->CompiledBranches = std::move(CurrentBranches);
  this->LastTree = Tree;
  std::erase_if(this->InternedPolicies,
                [](const auto &Interned) { return Interned.use_count() == 1; });
  return std::make_shared<const RouteTable>(std::move(OrderedRoutes));
}

std::shared_ptr<const Policy> RouteCompiler::internPolicy(Policy Value) {
  return *this->InternedPolicies
              .insert(std::make_shared<const Policy>(std::move(Value)))
              .first;
}

std::vector<WeightedServiceIndex>
RouteCompiler::resolveWeightedServices(const RouteDefinition &Route,
                                       size_t DefaultIndex) const {
  if (Route.WeightedServices.empty())
    return {{.ServiceIndex = DefaultIndex, .Weight = 1}};
  const std::vector<ServiceName> &Services = this->Context.Services;
  std::vector<WeightedServiceIndex> Resolved;
  for (const WeightedService &Weighted : Route.WeightedServices) {
    const auto Found =
        std::lower_bound(Services.begin(), Services.end(), Weighted.Service);
    if (Found != Services.end() && *Found == Weighted.Service)
      Resolved.push_back(
          {.ServiceIndex = static_cast<size_t>(Found - Services.begin()),
           .Weight = Weighted.Weight});
  }
  return Resolved;
}

BranchRoutesPtr RouteCompiler::compileBranch(const SettingsTree &Tree,
                                             const Branch &Source,
                                             size_t ServiceIndex) {
  const FailureDomain &Domain = this->Context.Domain;
  const Policy ServicePolicy =
      Tree.policy(Domain, Source.Service, RouteName(), this->Context.Defaults);
  BranchRoutes Routes;
  Routes.reserve(Source.Routes.size());
  for (const RouteDefinition &Route : Source.Routes)
    Routes.push_back(
        {.Name = Route.Name,
         .WeightedServices = this->resolveWeightedServices(Route, ServiceIndex),
         .Host = Route.Host,
         .Method = Route.Method,
         .PathPrefix = Route.PathPrefix,
         .EffectivePolicy = this->internPolicy(
             Tree.routePolicy(Domain, Source.Service, Route, ServicePolicy))});
  return std::make_shared<const BranchRoutes>(std::move(Routes));
}

} // namespace bluebellbarrow
