#include "vmretention.h"

#include <algorithm>
#include <set>
#include <utility>

namespace bluebellbarrow {

namespace {

using TargetEndpoint = std::pair<Address, int>;

TargetEndpoint endpointOf(const Vm &Node) { return {Node.Ip, Node.TargetPort}; }

} // namespace

void VmRetention::applyList(std::vector<Vm> NewList, TimePoint RetainUntil,
                            TimePoint Now) {
  std::vector<Vm> Previous = this->inUse();
  this->Listed = std::move(NewList);
  this->Retained.clear();
  if (RetainUntil <= Now)
    return;
  std::set<TargetEndpoint> ListedEndpoints;
  for (const Vm &Node : this->Listed)
    ListedEndpoints.insert(endpointOf(Node));
  for (Vm &Node : Previous)
    if (!ListedEndpoints.contains(endpointOf(Node)))
      this->Retained.push_back(std::move(Node));
  this->RetainedUntil = RetainUntil;
}

bool VmRetention::expireRetained(TimePoint Now) {
  if (this->Retained.empty() || Now < this->RetainedUntil)
    return false;
  this->Retained.clear();
  return true;
}

std::vector<Vm> VmRetention::inUse() const {
  std::vector<Vm> Vms = this->Listed;
  Vms.insert(Vms.end(), this->Retained.begin(), this->Retained.end());
  sortVms(Vms);
  return Vms;
}

} // namespace bluebellbarrow
