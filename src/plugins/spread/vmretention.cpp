#include "vmretention.h"

#include <algorithm>
#include <set>
#include <utility>

namespace bluebellbarrow {

namespace {

using TargetAddress = std::pair<Address, int>;

TargetAddress addressOf(const Vm &Each) { return {Each.Ip, Each.TargetPort}; }

} // namespace

void VmRetention::applyList(std::vector<Vm> NewList, TimePoint KeepUntil,
                            TimePoint Now) {
  std::vector<Vm> Before = this->inUse();
  this->Listed = std::move(NewList);
  this->Retained.clear();
  if (KeepUntil <= Now)
    return;
  std::set<TargetAddress> Taken;
  for (const Vm &Each : this->Listed)
    Taken.insert(addressOf(Each));
  for (Vm &Each : Before)
    if (!Taken.contains(addressOf(Each)))
      this->Retained.push_back(std::move(Each));
  this->RetainedUntil = KeepUntil;
}

bool VmRetention::expireRetained(TimePoint Now) {
  if (this->Retained.empty() || Now < this->RetainedUntil)
    return false;
  this->Retained.clear();
  return true;
}

std::vector<Vm> VmRetention::inUse() const {
  std::vector<Vm> All = this->Listed;
  All.insert(All.end(), this->Retained.begin(), this->Retained.end());
  sortVms(All);
  return All;
}

} // namespace bluebellbarrow
