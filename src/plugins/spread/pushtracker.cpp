#include "pushtracker.h"

#include <algorithm>
#include <iterator>

namespace bluebellbarrow {

namespace {

/** Time after which a bypassed receiver counts as unresponsive. */
constexpr Duration UnresponsiveTimeout = milliseconds(700);

} // namespace

template <typename Predicate>
std::vector<PendingPush> PushTracker::removeIf(Predicate Matches) {
  const auto First = std::stable_partition(
      this->Pending.begin(), this->Pending.end(),
      [&Matches](const PendingPush &Push) { return !Matches(Push); });
  std::vector<PendingPush> Removed(
      std::make_move_iterator(First),
      std::make_move_iterator(this->Pending.end()));
  this->Pending.erase(First, this->Pending.end());
  return Removed;
}

void PushTracker::onAck(const Address &Peer, ResourceKind Kind,
                        const VersionTag &Version) {
  std::erase_if(this->Pending, [&](const PendingPush &Push) {
    return Push.Peer == Peer && Push.Kind == Kind && Push.Version <= Version;
  });
}

std::vector<PendingPush> PushTracker::removeFailed(const Address &Peer) {
  std::vector<PendingPush> Failed = this->removeIf(
      [&Peer](const PendingPush &Push) { return Push.Peer == Peer; });
  std::erase_if(Failed, [](const PendingPush &Push) { return Push.Bypassed; });
  return Failed;
}

std::vector<PendingPush> PushTracker::bypassOverdue(TimePoint Now) {
  std::vector<PendingPush> Overdue;
  for (PendingPush &Push : this->Pending) {
    if (Push.Bypassed || Now < Push.Deadline)
      continue;
    Overdue.push_back(Push);
    Push.Bypassed = true;
    Push.Deadline = Now + UnresponsiveTimeout;
  }
  return Overdue;
}

std::vector<PendingPush> PushTracker::removeUnresponsive(TimePoint Now) {
  return this->removeIf([Now](const PendingPush &Push) {
    return Push.Bypassed && Now >= Push.Deadline;
  });
}

} // namespace bluebellbarrow
