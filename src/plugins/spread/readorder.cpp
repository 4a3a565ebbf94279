#include "readorder.h"

#include <limits>

namespace bluebellbarrow {

namespace {

/** Position of a node that is not listed, after every other position. */
constexpr size_t Unlisted = std::numeric_limits<size_t>::max();

} // namespace

bool ReadOrder::isSlowReader(const VmName &Name) const {
  const MemberAnnouncement *Announcement = this->Members.find(Name);
  return Announcement != nullptr && Announcement->IsSlowReader;
}

size_t ReadOrder::position(const VmName &Name) const {
  const size_t Position = this->Nodes.readPosition(Name);
  if (Position >= this->size())
    return Unlisted;
  return this->isSlowReader(Name) ? this->size() + Position : Position;
}

std::vector<VmName> ReadOrder::firstNodesBefore(size_t EndPosition,
                                                size_t Count) const {
  std::vector<VmName> Names;
  for (const bool Slow : {false, true})
    for (size_t Index = 0; Index < this->size(); ++Index) {
      const size_t Position = Slow ? this->size() + Index : Index;
      if (Position >= EndPosition || Names.size() == Count)
        return Names;
      const VmName &Name = this->Nodes.vmAtReadPosition(Index).Name;
      if (this->isSlowReader(Name) == Slow)
        Names.push_back(Name);
    }
  return Names;
}

const Vm *ReadOrder::firstInDomain(const FailureDomain &Domain,
                                   const VmName &Previous) const {
  // Unlisted + 1 wraps to 0: if Previous is not listed, no node is skipped.
  const size_t MinPosition =
      Previous.empty() ? 0 : this->position(Previous) + 1;
  const Vm *Best = nullptr;
  size_t BestPosition = Unlisted;
  for (const Vm &Node : this->Nodes.all()) {
    if (Node.Domain != Domain)
      continue;
    const size_t Position = this->position(Node.Name);
    if (Position < MinPosition || Position >= BestPosition)
      continue;
    Best = &Node;
    BestPosition = Position;
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
