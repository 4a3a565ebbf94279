#include "snapshot.h"

#include <algorithm>
#include <map>

namespace bluebellbarrow {

namespace {

std::string indexKey(const std::string &Method, const std::string &Prefix) {
  return Method + " " + Prefix;
}

/** Shortens "/a/b" to "/a/", and "/a/" to "/a". */
void dropSegment(std::string &Path) {
  if (Path.back() == '/')
    Path.pop_back();
  else
    Path.resize(Path.rfind('/') + 1);
}

void addRoutes(Snapshot &Target, const SettingsTree &Tree, size_t Index) {
  const ServiceName &Service = Target.Services[Index].Name;
  for (const RouteBranch &Route : Tree.routes(Service))
    Target.Routes.push_back(
        {.Name = Route.Name,
         .Service = Index,
         .Method = Route.Method,
         .PathPrefix = Route.PathPrefix,
         .Effective = Tree.policy(Target.Domain, Service, Route.Name)});
}

} // namespace

const RouteEntry *Snapshot::findRoute(const std::string &Method,
                                      const std::string &Path) const {
  for (std::string Prefix = Path; !Prefix.empty(); dropSegment(Prefix)) {
    const auto Found = this->RouteIndex.find(indexKey(Method, Prefix));
    if (Found != this->RouteIndex.end())
      return &this->Routes[Found->second];
  }
  return nullptr;
}

const ServiceEntry *Snapshot::findService(const ServiceName &Name) const {
  const auto Found =
      std::lower_bound(this->Services.begin(), this->Services.end(), Name,
                       [](const ServiceEntry &Each, const ServiceName &Wanted) {
                         return Each.Name < Wanted;
                       });
  const bool Matches = Found != this->Services.end() && Found->Name == Name;
  return Matches ? &*Found : nullptr;
}

std::shared_ptr<const Snapshot> compileSnapshot(const SettingsTree &Tree,
                                                const VersionId &Version,
                                                const std::vector<Vm> &Vms,
                                                const VersionId &VmListVersion,
                                                const FailureDomain &Domain) {
  auto Target = std::make_shared<Snapshot>();
  Target->Version = Version;
  Target->VmListVersion = VmListVersion;
  Target->Domain = Domain;
  Target->Spread = Tree.spreadPolicy(Domain);

  std::map<ServiceName, std::vector<Vm>> ByService;
  for (const Vm &Each : Vms)
    ByService[Each.Service].push_back(Each);
  for (const ServiceName &Name : Tree.services()) {
    Target->Services.push_back(
        {.Name = Name,
         .Effective = Tree.policy(Domain, Name, RouteName()),
         .Upstreams = std::move(ByService[Name])});
    addRoutes(*Target, Tree, Target->Services.size() - 1);
  }
  for (size_t Index = 0; Index < Target->Routes.size(); ++Index) {
    const RouteEntry &Route = Target->Routes[Index];
    Target->RouteIndex.emplace(indexKey(Route.Method, Route.PathPrefix), Index);
  }
  return Target;
}

} // namespace bluebellbarrow
