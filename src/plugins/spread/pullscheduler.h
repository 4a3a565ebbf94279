#ifndef BLUEBELLBARROW_SPREAD_PULLSCHEDULER_H
#define BLUEBELLBARROW_SPREAD_PULLSCHEDULER_H

#include "disseminatoractions.h"

#include <optional>
#include <random>

namespace bluebellbarrow {

/**
 * Pulls a version of one kind from a peer that has a newer one: at most one
 * pull at a time, delayed a little where a push may be on its way.
 *
 * Thread safety: none; owned by one task.
 */
class PullScheduler {
public:
  PullScheduler(ResourceKind Kind, uint64_t Seed) : Kind(Kind), Random(Seed) {}

  /**
   * A peer has a wanted version, by a digest. The pull starts after a short
   * random delay, or at once for \a Urgent.
   */
  void onNewerVersion(const Address &Peer, const VersionTag &Tag, bool Urgent,
                      TimePoint Now);

  /** A peer offers a wanted version on a stream, which therefore works. */
  void onOffer(const Address &Peer, const VersionTag &Tag, TimePoint Now);

  /** The peer can't serve now; asks \a Other, or the peer again, later. */
  void onBusy(const Address &Peer, const BusyMessage &Message, TimePoint Now);

  /** The transfer of a pull came, whether it was of use or not. */
  void onTransfer(const Address &Peer);

  /** The peer can't be reached. */
  void onSendFailed(const Address &Peer);

  /** Asks \a Peer at once for what changed since \a Have. */
  void startPull(const Address &Peer, const VersionId &Have, TimePoint Now,
                 DisseminatorActions &Actions);

  /** Returns true while nothing is planned or under way. */
  bool isIdle() const { return !this->Planned && !this->Active; }

  /** Forgets everything that is planned or under way. */
  void cancelAll();

  /** Forgets plans for versions that are in force. */
  void onApplied(const VersionTag &InForce);

  /**
   * Appends the pull that is due, and the end of one that was not answered:
   * its link is renewed and the peer asked once more. \a Have is the version
   * in force.
   */
  void poll(const VersionId &Have, TimePoint Now, DisseminatorActions &Actions);

private:
  struct PlannedPull {
    Address Peer;
    VersionTag Tag;
    TimePoint Due;

    /** The stream to the peer is known to work. */
    bool StreamVerified = false;
  };

  struct ActivePull {
    Address Peer;
    TimePoint Deadline;

    /** The peer was silent before. */
    bool IsRetry = false;
  };

  Duration drawDelay();
  void onTimeout(const VersionId &Have, TimePoint Now,
                 DisseminatorActions &Actions);

  ResourceKind Kind;
  std::mt19937_64 Random;
  std::optional<PlannedPull> Planned;
  std::optional<ActivePull> Active;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_SPREAD_PULLSCHEDULER_H
