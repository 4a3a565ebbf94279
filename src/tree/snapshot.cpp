#include "snapshot.h"

#include <algorithm>
#include <map>

namespace bluebellbarrow {

namespace {

bool hasPrefix(const std::string &Path, const std::string &Prefix) {
  if (Path.compare(0, Prefix.size(), Prefix) != 0)
    return false;
  return Prefix.back() == '/' || Path.size() == Prefix.size() ||
         Path[Prefix.size()] == '/';
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
  const auto Found = std::find_if(
      this->Routes.begin(), this->Routes.end(), [&](const RouteEntry &Each) {
        return Each.Method == Method && hasPrefix(Path, Each.PathPrefix);
      });
  return Found == this->Routes.end() ? nullptr : &*Found;
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
  std::stable_sort(Target->Routes.begin(), Target->Routes.end(),
                   [](const RouteEntry &A, const RouteEntry &B) {
                     return A.PathPrefix.size() > B.PathPrefix.size();
                   });
  return Target;
}

} // namespace bluebellbarrow
