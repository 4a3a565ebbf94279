#include "routecompiler.h"

#include <algorithm>

namespace bluebellbarrow {

namespace {

bool holdsRoutes(const Branch &Of) {
  return Of.Kind == BranchKind::Service || Of.Kind == BranchKind::RouteGroup;
}

} // namespace

RouteCompiler::InheritedContext
RouteCompiler::buildInheritedContext(const SettingsTree &Tree,
                                     const FailureDomain &Domain,
                                     const Policy &Base) const {
  InheritedContext All{
      .Domain = Domain, .Base = Base, .Services = Tree.services()};
  const std::string Place = "place/" + Domain.str();
  All.Branches = {Tree.find("mesh"), Tree.find(Place)};
  for (const ServiceName &Name : All.Services) {
    All.Branches.push_back(Tree.find("service/" + Name.str()));
    All.Branches.push_back(Tree.find(Place + "/" + Name.str()));
  }
  return All;
}

RouteTablePtr RouteCompiler::compile(const SettingsTreePtr &Tree,
                                     const FailureDomain &Domain,
                                     const Policy &Base) {
  InheritedContext New = this->buildInheritedContext(*Tree, Domain, Base);
  if (!(New == this->Context)) {
    this->Groups.clear();
    this->InternedPolicies.clear();
    this->Context = std::move(New);
  }
  std::map<const Branch *, RouteGroupPtr> Used;
  std::vector<RouteGroupPtr> InOrder;
  const std::vector<ServiceName> &Services = this->Context.Services;
  for (const auto &[Path, Each] : Tree->branches()) {
    if (!holdsRoutes(*Each) || Each->Routes.empty())
      continue;
    const auto Owner =
        std::lower_bound(Services.begin(), Services.end(), Each->Service);
    const auto Known = this->Groups.find(Each.get());
    RouteGroupPtr Group =
        Known != this->Groups.end()
            ? Known->second
            : this->compileBranch(
                  *Tree, *Each, static_cast<size_t>(Owner - Services.begin()));
    Used.emplace(Each.get(), Group);
    InOrder.push_back(std::move(Group));
  }
  this->Groups = std::move(Used);
  this->LastTree = Tree;
  std::erase_if(this->InternedPolicies,
                [](const auto &Each) { return Each.use_count() == 1; });
  return std::make_shared<const RouteTable>(std::move(InOrder));
}

std::shared_ptr<const Policy> RouteCompiler::internPolicy(Policy Value) {
  return *this->InternedPolicies
              .insert(std::make_shared<const Policy>(std::move(Value)))
              .first;
}

std::vector<WeightedServiceIndex>
RouteCompiler::resolveWeightedServices(const RouteDefinition &Route,
                                       size_t Own) const {
  if (Route.WeightedServices.empty())
    return {{.ServiceIndex = Own, .Weight = 1}};
  const std::vector<ServiceName> &Services = this->Context.Services;
  std::vector<WeightedServiceIndex> Shares;
  for (const WeightedService &Each : Route.WeightedServices) {
    const auto Known =
        std::lower_bound(Services.begin(), Services.end(), Each.Service);
    if (Known != Services.end() && *Known == Each.Service)
      Shares.push_back(
          {.ServiceIndex = static_cast<size_t>(Known - Services.begin()),
           .Weight = Each.Weight});
  }
  return Shares;
}

RouteGroupPtr RouteCompiler::compileBranch(const SettingsTree &Tree,
                                           const Branch &Of, size_t Service) {
  const FailureDomain &Domain = this->Context.Domain;
  const Policy Common =
      Tree.policy(Domain, Of.Service, RouteName(), this->Context.Base);
  RouteGroup Group;
  Group.reserve(Of.Routes.size());
  for (const RouteDefinition &Route : Of.Routes)
    Group.push_back(
        {.Name = Route.Name,
         .WeightedServices = this->resolveWeightedServices(Route, Service),
         .Host = Route.Host,
         .Method = Route.Method,
         .PathPrefix = Route.PathPrefix,
         .EffectivePolicy = this->internPolicy(
             Tree.routePolicy(Domain, Of.Service, Route, Common))});
  return std::make_shared<const RouteGroup>(std::move(Group));
}

} // namespace bluebellbarrow
