#ifndef BLUEBELLBARROW_SPREAD_PUSHTRACKER_H
#define BLUEBELLBARROW_SPREAD_PUSHTRACKER_H

#include "disseminatoractions.h"

#include <vector>

namespace bluebellbarrow {

/** A push that its receiver has not acknowledged. */
struct PendingPush {
  Address Peer;
  ResourceKind Kind = ResourceKind::Config;
  VersionTag Version;
  PushTree Tree;
  TimePoint Deadline;

  /** Its receiver's children have been pushed to in its place. */
  bool Bypassed = false;
};

/**
 * Remembers which pushes are not acknowledged, so that the sender can push to
 * the children of a receiver that is dead or frozen.
 *
 * Thread safety: none; owned by one task.
 */
class PushTracker {
public:
  bool empty() const { return this->Pending.empty(); }

  void add(PendingPush Push) { this->Pending.push_back(std::move(Push)); }

  /** \a Peer has a version of \a Kind that is not older than \a Version. */
  void onAck(const Address &Peer, ResourceKind Kind, const VersionTag &Version);

  /**
   * Removes the pushes to \a Peer, which can't be reached, and returns those
   * that are not adopted yet.
   */
  std::vector<PendingPush> removeFailed(const Address &Peer);

  /**
   * Returns the pushes whose time is over, once each: their receivers'
   * children are left to the caller. They stay open until takeSilent().
   */
  std::vector<PendingPush> bypassOverdue(TimePoint Now);

  /** Removes and returns the pushes that were not answered at all. */
  std::vector<PendingPush> removeUnresponsive(TimePoint Now);

  void clear() { this->Pending.clear(); }

private:
  template <typename Predicate>
  std::vector<PendingPush> removeIf(Predicate Matches);

  std::vector<PendingPush> Pending;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_SPREAD_PUSHTRACKER_H
