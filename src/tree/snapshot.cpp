#include "snapshot.h"

#include <algorithm>
#include <map>
#include <set>

namespace bluebellbarrow {

namespace {

std::string indexKey(const std::string &Host, const std::string &Method,
                     const std::string &Prefix) {
  return Host + " " + Method + " " + Prefix;
}

/** Shortens "/a/b" to "/a/", and "/a/" to "/a". */
void dropSegment(std::string &Path) {
  if (Path.back() == '/')
    Path.pop_back();
  else
    Path.resize(Path.rfind('/') + 1);
}

std::vector<ServiceShare> sharesOf(const Snapshot &In, const RouteBranch &Route,
                                   size_t Own) {
  if (Route.Shares.empty())
    return {{.Service = Own, .Weight = 1}};
  std::vector<ServiceShare> Shares;
  for (const RouteShare &Each : Route.Shares) {
    const ServiceEntry *Known = In.findService(Each.Service);
    if (Known != nullptr)
      Shares.push_back(
          {.Service = static_cast<size_t>(Known - In.Services.data()),
           .Weight = Each.Weight});
  }
  return Shares;
}

void addRoutes(Snapshot &Target, const SettingsTree &Tree, size_t Index,
               const Policy &Base) {
  const ServiceName &Service = Target.Services[Index].Name;
  for (const RouteBranch *Route : Tree.routes(Service))
    Target.Routes.push_back(
        {.Name = Route->Name,
         .Shares = sharesOf(Target, *Route, Index),
         .Host = Route->Host,
         .Method = Route->Method,
         .PathPrefix = Route->PathPrefix,
         .Effective = Tree.policy(Target.Domain, Service, Route->Name, Base)});
}

} // namespace

const RouteEntry *Snapshot::findRoute(const std::string &Host,
                                      const std::string &Method,
                                      const std::string &Path) const {
  static const std::string Any;
  for (std::string Prefix = Path; !Prefix.empty(); dropSegment(Prefix))
    for (const std::string *ByHost : {&Host, &Any})
      for (const std::string *ByMethod : {&Method, &Any}) {
        const auto Found =
            this->RouteIndex.find(indexKey(*ByHost, *ByMethod, Prefix));
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

std::shared_ptr<const Snapshot>
compileSnapshot(const SettingsTree &Tree, const VersionId &Version,
                const std::vector<Vm> &Vms, const VersionId &VmListVersion,
                const FailureDomain &Domain, const SnapshotDefaults &Base) {
  auto Target = std::make_shared<Snapshot>();
  Target->Version = Version;
  Target->VmListVersion = VmListVersion;
  Target->Domain = Domain;
  Target->Spread = Tree.spreadPolicy(Domain, Base.Spread);
  Target->Limits = Tree.callerLimits(Domain);

  std::map<ServiceName, std::vector<Vm>> ByService;
  std::set<VmName> Names;
  for (const Vm &Each : Vms) {
    ByService[Each.Service].push_back(Each);
    Names.insert(Each.Name);
  }
  Target->VmCount = Names.size();
  for (const ServiceName &Name : Tree.services())
    Target->Services.push_back(
        {.Name = Name,
         .Effective = Tree.policy(Domain, Name, RouteName(), Base.Calls),
         .Upstreams = std::move(ByService[Name])});
  for (size_t Index = 0; Index < Target->Services.size(); ++Index)
    addRoutes(*Target, Tree, Index, Base.Calls);
  for (size_t Index = 0; Index < Target->Routes.size(); ++Index) {
    const RouteEntry &Route = Target->Routes[Index];
    Target->RouteIndex.emplace(
        indexKey(Route.Host, Route.Method, Route.PathPrefix), Index);
  }
  return Target;
}

} // namespace bluebellbarrow
