#include "lapsedvms.h"

#include <algorithm>
#include <set>
#include <utility>

namespace bluebellbarrow {

namespace {

using TargetAddress = std::pair<Address, int>;

TargetAddress addressOf(const Vm &Each) { return {Each.Ip, Each.TargetPort}; }

} // namespace

void LapsedVms::apply(std::vector<Vm> NewList, TimePoint KeepUntil,
                      TimePoint Now) {
  std::vector<Vm> Before = this->inUse();
  this->Listed = std::move(NewList);
  this->Kept.clear();
  if (KeepUntil <= Now)
    return;
  std::set<TargetAddress> Taken;
  for (const Vm &Each : this->Listed)
    Taken.insert(addressOf(Each));
  for (Vm &Each : Before)
    if (!Taken.contains(addressOf(Each)))
      this->Kept.push_back(std::move(Each));
  this->KeptUntil = KeepUntil;
}

bool LapsedVms::expire(TimePoint Now) {
  if (this->Kept.empty() || Now < this->KeptUntil)
    return false;
  this->Kept.clear();
  return true;
}

std::vector<Vm> LapsedVms::inUse() const {
  std::vector<Vm> All = this->Listed;
  All.insert(All.end(), this->Kept.begin(), this->Kept.end());
  sortVms(All);
  return All;
}

} // namespace bluebellbarrow
