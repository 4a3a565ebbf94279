#include "pushtracker.h"

#include <algorithm>
#include <iterator>

namespace bluebellbarrow {

namespace {

/** Time after which a receiver whose children are adopted counts as silent. */
constexpr Duration SilenceLimit = milliseconds(700);

} // namespace

template <typename Predicate>
std::vector<PendingPush> PushTracker::removeIf(Predicate Matches) {
  const auto First = std::stable_partition(
      this->Pending.begin(), this->Pending.end(),
      [&Matches](const PendingPush &Each) { return !Matches(Each); });
  std::vector<PendingPush> Taken(std::make_move_iterator(First),
                                 std::make_move_iterator(this->Pending.end()));
  this->Pending.erase(First, this->Pending.end());
  return Taken;
}

void PushTracker::onAck(const Address &Peer, ResourceKind Kind,
                        const VersionTag &Version) {
  std::erase_if(this->Pending, [&](const PendingPush &Each) {
    return Each.Peer == Peer && Each.Kind == Kind && Each.Version <= Version;
  });
}

std::vector<PendingPush> PushTracker::removeFailed(const Address &Peer) {
  std::vector<PendingPush> Failed = this->removeIf(
      [&Peer](const PendingPush &Each) { return Each.Peer == Peer; });
  std::erase_if(Failed, [](const PendingPush &Each) { return Each.Bypassed; });
  return Failed;
}

std::vector<PendingPush> PushTracker::bypassOverdue(TimePoint Now) {
  std::vector<PendingPush> Overdue;
  for (PendingPush &Each : this->Pending) {
    if (Each.Bypassed || Now < Each.Deadline)
      continue;
    Overdue.push_back(Each);
    Each.Bypassed = true;
    Each.Deadline = Now + SilenceLimit;
  }
  return Overdue;
}

std::vector<PendingPush> PushTracker::removeUnresponsive(TimePoint Now) {
  return this->removeIf([Now](const PendingPush &Each) {
    return Each.Bypassed && Now >= Each.Deadline;
  });
}

} // namespace bluebellbarrow
