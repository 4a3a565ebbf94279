#ifndef BLUEBELLBARROW_SPREAD_PUSHTRACKER_H
#define BLUEBELLBARROW_SPREAD_PUSHTRACKER_H

#include "disseminatoractions.h"

#include <vector>

namespace bluebellbarrow {

/** A push or an offer that its receiver has not acknowledged. */
struct PendingPush {
  Address Peer;
  ResourceKind Kind = ResourceKind::Config;
  VersionTag Version;

  /** Tree of the push; default-constructed for an offer. */
  PushTree Tree;

  /** Deadline of the acknowledgement; extended once, by bypassOverdue(). */
  TimePoint Deadline;

  /** Past its deadline; the receiver's children get the version instead. */
  bool Bypassed = false;
};

/**
 * Tracks pushes and offers that are not acknowledged, so that the sender can
 * bypass a receiver that has crashed or hangs: it pushes the version to the
 * receiver's children instead, or to another node of the receiver's domain
 * where the receiver is the root of the tree.
 *
 * Thread safety: none; owned by one task.
 */
class PushTracker {
public:
  bool empty() const { return this->Pending.empty(); }

  void add(PendingPush Push) { this->Pending.push_back(std::move(Push)); }

  /**
   * Removes the pushes of \a Version and older versions to \a Peer. To be
   * called when \a Peer acknowledges \a Version or a digest shows that it has
   * the version.
   */
  void onAck(const Address &Peer, ResourceKind Kind, const VersionTag &Version);

  /**
   * Removes all pushes to \a Peer, to which sending failed, and returns those
   * that are not bypassed yet.
   */
  std::vector<PendingPush> removeFailed(const Address &Peer);

  /**
   * Marks the pushes past their deadline as bypassed, extends the deadline and
   * returns them; the caller has to bypass their receivers. They stay pending
   * until they are acknowledged or removeUnresponsive() removes them.
   */
  std::vector<PendingPush> bypassOverdue(TimePoint Now);

  /** Removes and returns bypassed pushes past their extended deadline. */
  std::vector<PendingPush> removeUnresponsive(TimePoint Now);

  void clear() { this->Pending.clear(); }

private:
  template <typename Predicate>
  std::vector<PendingPush> removeIf(Predicate Matches);

  std::vector<PendingPush> Pending;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_SPREAD_PUSHTRACKER_H
