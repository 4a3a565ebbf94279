#include "membership.h"

#include <algorithm>
#include <tuple>

namespace bluebellbarrow {

namespace {

constexpr size_t MaxNews = 32;

auto orderOf(const MemberAnnouncement &Announced) {
  return std::tuple(Announced.Incarnation, Announced.Sequence);
}

} // namespace

const char *memberStateName(MemberState State) {
  switch (State) {
  case MemberState::Starting:
    return "starting";
  case MemberState::Serving:
    return "serving";
  case MemberState::Draining:
    return "draining";
  case MemberState::Gone:
    return "gone";
  }
  return "unknown";
}

bool Membership::setLocalState(MemberState State) {
  if (this->LocalAnnouncement.State == State)
    return false;
  this->LocalAnnouncement.State = State;
  this->LocalAnnouncement.Sequence += 1;
  return true;
}

bool Membership::merge(const MemberAnnouncement &Announced) {
  if (Announced.Name == this->LocalAnnouncement.Name) {
    if (Announced.Incarnation <= this->LocalAnnouncement.Incarnation)
      return false;
    this->LocalAnnouncement.Incarnation =
        IncarnationId(Announced.Incarnation.value() + 1);
    return true;
  }
  const auto [Known, New] =
      this->Announcements.emplace(Announced.Name, Announced);
  if (!New) {
    if (orderOf(Announced) <= orderOf(Known->second))
      return false;
    Known->second = Announced;
  }
  std::erase(this->RecentlyUpdated, Announced.Name);
  this->RecentlyUpdated.insert(this->RecentlyUpdated.begin(), Announced.Name);
  if (this->RecentlyUpdated.size() > MaxNews)
    this->RecentlyUpdated.pop_back();
  return true;
}

const MemberAnnouncement *
Membership::newerIncarnation(const MemberAnnouncement &Announced) const {
  const MemberAnnouncement *Known = this->find(Announced.Name);
  return Known != nullptr && Known->Incarnation > Announced.Incarnation
             ? Known
             : nullptr;
}

const MemberAnnouncement *Membership::find(const VmName &Name) const {
  if (Name == this->LocalAnnouncement.Name)
    return &this->LocalAnnouncement;
  const auto Found = this->Announcements.find(Name);
  return Found == this->Announcements.end() ? nullptr : &Found->second;
}

bool Membership::acceptsRequests(const VmName &Name) const {
  const MemberAnnouncement *Announced = this->find(Name);
  return Announced == nullptr || Announced->State == MemberState::Serving;
}

std::vector<MemberAnnouncement> Membership::recentUpdates(size_t Limit) const {
  std::vector<MemberAnnouncement> Recent;
  for (const VmName &Name : this->RecentlyUpdated) {
    if (Recent.size() == Limit)
      break;
    if (const MemberAnnouncement *Announced = this->find(Name))
      Recent.push_back(*Announced);
  }
  return Recent;
}

} // namespace bluebellbarrow
