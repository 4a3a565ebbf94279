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
  PushTree Tree;

  /** Deadline of the acknowledgement; extended once when bypassed. */
  TimePoint Deadline;

  /** The version has been pushed to the receiver's children instead. */
  bool Bypassed = false;
};

/**
 * Tracks pushes that are not acknowledged, so that the sender can push to the
 * children of a receiver that has crashed or hangs.
 *
 * Thread safety: none; owned by one task.
 */
class PushTracker {
public:
  bool empty() const { return this->Pending.empty(); }

  void add(PendingPush Push) { this->Pending.push_back(std::move(Push)); }

  /**
   * \a Peer has acknowledged \a Version, or has it according to a digest.
   * Removes the pushes of that version and older ones to \a Peer.
   */
  void onAck(const Address &Peer, ResourceKind Kind, const VersionTag &Version);

  /**
   * Removes the pushes to \a Peer, whose stream failed, and returns those
   * that are not bypassed yet.
   */
  std::vector<PendingPush> removeFailed(const Address &Peer);

  /**
   * Returns the pushes past their deadline, each of them once; the caller
   * pushes to their receivers' children. They stay pending until
   * removeUnresponsive().
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
