#include "membership.h"

#include <algorithm>
#include <tuple>

namespace bluebellbarrow {

namespace {

constexpr size_t MaxNews = 32;

auto orderOf(const MemberAnnouncement &Announced) {
  return std::tuple(Announced.Life, Announced.Sequence);
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

bool Membership::setOwnState(MemberState State) {
  if (this->OwnState.State == State)
    return false;
  this->OwnState.State = State;
  this->OwnState.Sequence += 1;
  return true;
}

bool Membership::merge(const MemberAnnouncement &Announced) {
  if (Announced.Name == this->OwnState.Name) {
    if (Announced.Life <= this->OwnState.Life)
      return false;
    this->OwnState.Life = Incarnation(Announced.Life.value() + 1);
    return true;
  }
  const auto [Known, New] =
      this->Announcements.emplace(Announced.Name, Announced);
  if (!New) {
    if (orderOf(Announced) <= orderOf(Known->second))
      return false;
    Known->second = Announced;
  }
  std::erase(this->News, Announced.Name);
  this->News.insert(this->News.begin(), Announced.Name);
  if (this->News.size() > MaxNews)
    this->News.pop_back();
  return true;
}

const MemberAnnouncement *
Membership::laterLife(const MemberAnnouncement &Announced) const {
  const MemberAnnouncement *Known = this->find(Announced.Name);
  return Known != nullptr && Known->Life > Announced.Life ? Known : nullptr;
}

const MemberAnnouncement *Membership::find(const VmName &Name) const {
  if (Name == this->OwnState.Name)
    return &this->OwnState;
  const auto Found = this->Announcements.find(Name);
  return Found == this->Announcements.end() ? nullptr : &Found->second;
}

bool Membership::takesWork(const VmName &Name) const {
  const MemberAnnouncement *Announced = this->find(Name);
  return Announced == nullptr || Announced->State == MemberState::Serving;
}

std::vector<MemberAnnouncement> Membership::recentNews(size_t Limit) const {
  std::vector<MemberAnnouncement> Recent;
  for (const VmName &Name : this->News) {
    if (Recent.size() == Limit)
      break;
    if (const MemberAnnouncement *Announced = this->find(Name))
      Recent.push_back(*Announced);
  }
  return Recent;
}

} // namespace bluebellbarrow
