#include "readorder.h"

#include <limits>

namespace bluebellbarrow {

namespace {

constexpr size_t Unlisted = std::numeric_limits<size_t>::max();

} // namespace

bool ReadOrder::isSlow(const VmName &Name) const {
  const MemberAnnouncement *Known = this->Members.find(Name);
  return Known != nullptr && Known->ReadsSlowly;
}

size_t ReadOrder::placeOf(const VmName &Name) const {
  const size_t Place = this->Nodes.readPlaceOf(Name);
  if (Place >= this->size())
    return Unlisted;
  return this->isSlow(Name) ? this->size() + Place : Place;
}

std::vector<VmName> ReadOrder::firstUntil(size_t Place, size_t Count) const {
  std::vector<VmName> Found;
  for (const bool Slow : {false, true})
    for (size_t Index = 0; Index < this->size(); ++Index) {
      const size_t Each = Slow ? this->size() + Index : Index;
      if (Each >= Place || Found.size() == Count)
        return Found;
      const VmName &Name = this->Nodes.atReadPlace(Index).Name;
      if (this->isSlow(Name) == Slow)
        Found.push_back(Name);
    }
  return Found;
}

const Vm *ReadOrder::firstIn(const FailureDomain &Domain,
                             const VmName &Before) const {
  const size_t After = Before.empty() ? 0 : this->placeOf(Before) + 1;
  const Vm *Best = nullptr;
  size_t BestPlace = Unlisted;
  for (const Vm &Each : this->Nodes.all()) {
    if (Each.Domain != Domain)
      continue;
    const size_t Place = this->placeOf(Each.Name);
    if (Place < After || Place >= BestPlace)
      continue;
    Best = &Each;
    BestPlace = Place;
  }
  return Best;
}

std::vector<VmName> ReadOrder::before(const VmName &Name, size_t Count) const {
  return this->firstUntil(this->placeOf(Name), Count);
}

std::vector<VmName> ReadOrder::first(size_t Count) const {
  return this->firstUntil(Unlisted, Count);
}

} // namespace bluebellbarrow
