#include "membership.h"

#include <algorithm>
#include <tuple>

namespace bluebellbarrow {

namespace {

constexpr size_t MaxRecentUpdates = 32;

auto versionOf(const MemberAnnouncement &Announcement) {
  return std::tuple(Announcement.Incarnation, Announcement.Sequence);
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

bool Membership::merge(const MemberAnnouncement &Announcement) {
  if (Announcement.Name == this->LocalAnnouncement.Name) {
    if (Announcement.Incarnation <= this->LocalAnnouncement.Incarnation)
      return false;
    this->LocalAnnouncement.Incarnation =
        IncarnationId(Announcement.Incarnation.value() + 1);
    return true;
  }
  const auto [Position, Inserted] =
      this->Announcements.emplace(Announcement.Name, Announcement);
  if (!Inserted) {
    if (versionOf(Announcement) <= versionOf(Position->second))
      return false;
    Position->second = Announcement;
  }
  std::erase(this->RecentlyUpdated, Announcement.Name);
  this->RecentlyUpdated.insert(this->RecentlyUpdated.begin(),
                               Announcement.Name);
  if (this->RecentlyUpdated.size() > MaxRecentUpdates)
    this->RecentlyUpdated.pop_back();
  return true;
}

const MemberAnnouncement *
Membership::newerIncarnation(const MemberAnnouncement &Announcement) const {
  const MemberAnnouncement *Known = this->find(Announcement.Name);
  return Known != nullptr && Known->Incarnation > Announcement.Incarnation
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
  const MemberAnnouncement *Announcement = this->find(Name);
  return Announcement == nullptr || Announcement->State == MemberState::Serving;
}

std::vector<MemberAnnouncement> Membership::recentUpdates(size_t Limit) const {
  std::vector<MemberAnnouncement> Recent;
  for (const VmName &Name : this->RecentlyUpdated) {
    if (Recent.size() == Limit)
      break;
    if (const MemberAnnouncement *Announcement = this->find(Name))
      Recent.push_back(*Announcement);
  }
  return Recent;
}

} // namespace bluebellbarrow
