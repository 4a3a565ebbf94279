#ifndef BLUEBELLBARROW_SPREAD_PULLCONTROL_H
#define BLUEBELLBARROW_SPREAD_PULLCONTROL_H

#include "spreadactions.h"

#include <optional>
#include <random>

namespace bluebellbarrow {

/**
 * Pulls a version of one kind from a peer that has a newer one: at most one
 * pull at a time, delayed a little where a push may be on its way.
 *
 * Thread safety: none; owned by one task.
 */
class PullControl {
public:
  PullControl(ItemKind Kind, uint64_t Seed) : Kind(Kind), Random(Seed) {}

  /**
   * A peer has a wanted version, by a digest. The pull starts after a short
   * random delay, or at once for \a Urgent.
   */
  void onNewer(const Address &Peer, const VersionTag &Tag, bool Urgent,
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
  void pull(const Address &Peer, const VersionId &Have, TimePoint Now,
            SpreadActions &Actions);

  /** Returns true while nothing is planned or under way. */
  bool idle() const { return !this->Next && !this->Active; }

  /** Forgets everything that is planned or under way. */
  void clear();

  /** Forgets plans for versions that are in force. */
  void onApplied(const VersionTag &InForce);

  /**
   * Appends the pull that is due, and the end of one that was not answered:
   * its link is renewed and the peer asked once more. \a Have is the version
   * in force.
   */
  void poll(const VersionId &Have, TimePoint Now, SpreadActions &Actions);

private:
  struct Plan {
    Address Peer;
    VersionTag Tag;
    TimePoint Due;

    /** The stream to the peer is known to work. */
    bool Proven = false;
  };

  struct Pull {
    Address Peer;
    TimePoint Deadline;

    /** The peer was silent before. */
    bool Again = false;
  };

  Duration drawDelay();
  void onSilent(const VersionId &Have, TimePoint Now, SpreadActions &Actions);

  ItemKind Kind;
  std::mt19937_64 Random;
  std::optional<Plan> Next;
  std::optional<Pull> Active;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_SPREAD_PULLCONTROL_H
