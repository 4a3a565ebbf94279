#include "pushtracker.h"

#include <algorithm>
#include <iterator>

namespace bluebellbarrow {

namespace {

/** Time after which a receiver whose children are adopted counts as silent. */
constexpr Duration SilenceLimit = milliseconds(700);

} // namespace

template <typename Predicate>
std::vector<OpenPush> PushTracker::takeIf(Predicate Matches) {
  const auto First = std::stable_partition(
      this->Open.begin(), this->Open.end(),
      [&Matches](const OpenPush &Each) { return !Matches(Each); });
  std::vector<OpenPush> Taken(std::make_move_iterator(First),
                              std::make_move_iterator(this->Open.end()));
  this->Open.erase(First, this->Open.end());
  return Taken;
}

void PushTracker::onAck(const Address &Peer, ItemKind Kind,
                        const VersionTag &Version) {
  std::erase_if(this->Open, [&](const OpenPush &Each) {
    return Each.Peer == Peer && Each.Kind == Kind && Each.Version <= Version;
  });
}

std::vector<OpenPush> PushTracker::takeFailed(const Address &Peer) {
  std::vector<OpenPush> Failed =
      this->takeIf([&Peer](const OpenPush &Each) { return Each.Peer == Peer; });
  std::erase_if(Failed, [](const OpenPush &Each) { return Each.Adopted; });
  return Failed;
}

std::vector<OpenPush> PushTracker::adoptOverdue(TimePoint Now) {
  std::vector<OpenPush> Overdue;
  for (OpenPush &Each : this->Open) {
    if (Each.Adopted || Now < Each.Deadline)
      continue;
    Overdue.push_back(Each);
    Each.Adopted = true;
    Each.Deadline = Now + SilenceLimit;
  }
  return Overdue;
}

std::vector<OpenPush> PushTracker::takeSilent(TimePoint Now) {
  return this->takeIf([Now](const OpenPush &Each) {
    return Each.Adopted && Now >= Each.Deadline;
  });
}

} // namespace bluebellbarrow
