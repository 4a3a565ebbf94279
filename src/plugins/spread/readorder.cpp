#include "readorder.h"

#include <limits>

namespace bluebellbarrow {

namespace {

constexpr size_t Unlisted = std::numeric_limits<size_t>::max();

} // namespace

bool ReadOrder::isSlowReader(const VmName &Name) const {
  const MemberAnnouncement *Known = this->Members.find(Name);
  return Known != nullptr && Known->IsSlowReader;
}

size_t ReadOrder::position(const VmName &Name) const {
  const size_t Place = this->Nodes.readPosition(Name);
  if (Place >= this->size())
    return Unlisted;
  return this->isSlowReader(Name) ? this->size() + Place : Place;
}

std::vector<VmName> ReadOrder::firstNodesBefore(size_t Place,
                                                size_t Count) const {
  std::vector<VmName> Found;
  for (const bool Slow : {false, true})
    for (size_t Index = 0; Index < this->size(); ++Index) {
      const size_t Each = Slow ? this->size() + Index : Index;
      if (Each >= Place || Found.size() == Count)
        return Found;
      const VmName &Name = this->Nodes.vmAtReadPosition(Index).Name;
      if (this->isSlowReader(Name) == Slow)
        Found.push_back(Name);
    }
  return Found;
}

const Vm *ReadOrder::firstInDomain(const FailureDomain &Domain,
                                   const VmName &Before) const {
  const size_t After = Before.empty() ? 0 : this->position(Before) + 1;
  const Vm *Best = nullptr;
  size_t BestPlace = Unlisted;
  for (const Vm &Each : this->Nodes.all()) {
    if (Each.Domain != Domain)
      continue;
    const size_t Place = this->position(Each.Name);
    if (Place < After || Place >= BestPlace)
      continue;
    Best = &Each;
    BestPlace = Place;
  }
  return Best;
}

std::vector<VmName> ReadOrder::nodesBefore(const VmName &Name,
                                           size_t Count) const {
  return this->firstNodesBefore(this->position(Name), Count);
}

std::vector<VmName> ReadOrder::firstNodes(size_t Count) const {
  return this->firstNodesBefore(Unlisted, Count);
}

} // namespace bluebellbarrow
