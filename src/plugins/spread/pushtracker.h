#ifndef BLUEBELLBARROW_SPREAD_PUSHTRACKER_H
#define BLUEBELLBARROW_SPREAD_PUSHTRACKER_H

#include "spreadactions.h"

#include <vector>

namespace bluebellbarrow {

/** A push that its receiver has not acknowledged. */
struct OpenPush {
  Address Peer;
  ItemKind Kind = ItemKind::Config;
  VersionTag Version;
  PushTree Tree;
  TimePoint Deadline;
};

/**
 * Remembers which pushes are not acknowledged, so that the sender can push to
 * the children of a receiver that is dead or frozen.
 *
 * Thread safety: none; owned by one task.
 */
class PushTracker {
public:
  bool empty() const { return this->Open.empty(); }

  void add(OpenPush Push) { this->Open.push_back(std::move(Push)); }

  /** \a Peer has a version of \a Kind that is not older than \a Version. */
  void onAck(const Address &Peer, ItemKind Kind, const VersionTag &Version);

  /** Removes and returns the pushes to \a Peer, which can't be reached. */
  std::vector<OpenPush> takeFailed(const Address &Peer);

  /** Removes and returns the pushes whose time is over. */
  std::vector<OpenPush> takeOverdue(TimePoint Now);

  void clear() { this->Open.clear(); }

private:
  template <typename Predicate> std::vector<OpenPush> takeIf(Predicate Matches);

  std::vector<OpenPush> Open;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_SPREAD_PUSHTRACKER_H
