#include "snapshot.h"

#include <algorithm>
#include <map>
#include <set>

namespace bluebellbarrow {

const ServiceEntry *Snapshot::findService(const ServiceName &Name) const {
  const auto Found =
      std::lower_bound(this->Services.begin(), this->Services.end(), Name,
                       [](const ServiceEntry &Each, const ServiceName &Wanted) {
                         return Each.Name < Wanted;
                       });
  const bool Matches = Found != this->Services.end() && Found->Name == Name;
  return Matches ? &*Found : nullptr;
}

std::shared_ptr<const Snapshot> compileSnapshot(const SnapshotInput &From) {
  auto Target = std::make_shared<Snapshot>();
  Target->Version = From.Version;
  Target->VmListVersion = From.VmListVersion;
  Target->Domain = From.Domain;
  Target->Spread = From.Tree.spreadPolicy(From.Domain, From.Defaults.Spread);
  Target->Limits = From.Tree.callerLimits(From.Domain);
  Target->Routes = From.Routes;

  std::map<ServiceName, std::vector<Vm>> ByService;
  std::set<VmName> Names;
  for (const Vm &Each : From.Vms) {
    ByService[Each.Service].push_back(Each);
    Names.insert(Each.Name);
  }
  Target->VmCount = Names.size();
  for (const ServiceName &Name : From.Tree.services())
    Target->Services.push_back(
        {.Name = Name,
         .EffectivePolicy = From.Tree.policy(From.Domain, Name, RouteName(),
                                             From.Defaults.CallPolicy),
         .Upstreams = std::move(ByService[Name])});
  return Target;
}

} // namespace bluebellbarrow
