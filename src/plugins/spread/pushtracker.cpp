#include "pushtracker.h"

#include <algorithm>
#include <iterator>

namespace bluebellbarrow {

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
  return this->takeIf(
      [&Peer](const OpenPush &Each) { return Each.Peer == Peer; });
}

std::vector<OpenPush> PushTracker::takeOverdue(TimePoint Now) {
  return this->takeIf(
      [Now](const OpenPush &Each) { return Now >= Each.Deadline; });
}

} // namespace bluebellbarrow
