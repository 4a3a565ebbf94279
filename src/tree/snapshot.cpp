#include "snapshot.h"

#include <algorithm>
#include <map>
#include <set>

namespace bluebellbarrow {

const ServiceEntry *Snapshot::findService(const ServiceName &Name) const {
  const auto Found = std::lower_bound(
      this->Services.begin(), this->Services.end(), Name,
      [](const ServiceEntry &Entry, const ServiceName &Wanted) {
        return Entry.Name < Wanted;
      });
  const bool Matches = Found != this->Services.end() && Found->Name == Name;
  return Matches ? &*Found : nullptr;
}

bool Snapshot::isEvacuated(const FailureDomain &Wanted) const {
  return std::binary_search(this->EvacuatedDomains.begin(),
                            this->EvacuatedDomains.end(), Wanted);
}

std::shared_ptr<const Snapshot> compileSnapshot(const SnapshotInput &Input) {
  auto Compiled = std::make_shared<Snapshot>();
  Compiled->Version = Input.Version;
  Compiled->VmListVersion = Input.VmListVersion;
  Compiled->Domain = Input.Domain;
  Compiled->Spread =
      Input.Tree.spreadPolicy(Input.Domain, Input.Defaults.Spread);
  Compiled->Limits = Input.Tree.callerLimits(Input.Domain);
  Compiled->Routes = Input.Routes;

  Compiled->EvacuatedDomains = Input.EvacuatedDomains;

  std::map<ServiceName, std::vector<Vm>> ByService;
  std::set<VmName> Names;
  for (const Vm &Listed : Input.Vms) {
    std::vector<Vm> &Upstreams = ByService[Listed.Service];
    Upstreams.push_back(Listed);
    Upstreams.back().Evacuated = Compiled->isEvacuated(Listed.Domain);
    Names.insert(Listed.Name);
  }
  Compiled->VmCount = Names.size();
  for (const ServiceName &Name : Input.Tree.services())
    Compiled->Services.push_back(
        {.Name = Name,
         .EffectivePolicy = Input.Tree.policy(Input.Domain, Name, RouteName(),
                                              Input.Defaults.CallPolicy),
         .Upstreams = std::move(ByService[Name])});
  return Compiled;
}

} // namespace bluebellbarrow
