#ifndef BLUEBELLBARROW_SPREAD_PULLSCHEDULER_H
#define BLUEBELLBARROW_SPREAD_PULLSCHEDULER_H

#include "disseminatoractions.h"

#include <optional>
#include <random>

namespace bluebellbarrow {

/**
 * Pulls versions of one kind from peers that have newer ones: at most one pull
 * at a time, with a short delay where a push may still arrive.
 *
 * Thread safety: none; owned by one task.
 */
class PullScheduler {
public:
  PullScheduler(ResourceKind Kind, uint64_t Seed) : Kind(Kind), Random(Seed) {}

  /**
   * A digest shows that \a Peer has a candidate version. The pull starts after
   * a short random delay, or at once if \a Urgent.
   */
  void onNewerVersion(const Address &Peer, const VersionTag &Tag, bool Urgent,
                      TimePoint Now);

  /**
   * A peer offers a candidate version on a stream, which shows that the stream
   * works.
   */
  void onOffer(const Address &Peer, const VersionTag &Tag, TimePoint Now);

  /**
   * The peer can't serve the pull now. Plans a later one from the alternate
   * peer that \a Message names, or from the same peer.
   */
  void onBusy(const Address &Peer, const BusyMessage &Message, TimePoint Now);

  /** \a Peer has sent the transfer, whether or not it is accepted. */
  void onTransfer(const Address &Peer);

  /** The stream to \a Peer failed: discards the pulls from it. */
  void onSendFailed(const Address &Peer);

  /** Pulls the changes since \a CurrentVersion from \a Peer at once. */
  void startPull(const Address &Peer, const VersionId &CurrentVersion,
                 TimePoint Now, DisseminatorActions &Actions);

  /** Returns true while no pull is planned or active. */
  bool isIdle() const { return !this->Planned && !this->Active; }

  /** Discards the planned and the active pull. */
  void cancelAll();

  /** Discards a planned pull of a version no newer than \a Current. */
  void onApplied(const VersionTag &Current);

  /**
   * Appends the pull that is due. When the active pull timed out, appends a
   * reset of the stream to its peer, and retries it once unless another pull
   * is planned.
   */
  void poll(const VersionId &CurrentVersion, TimePoint Now,
            DisseminatorActions &Actions);

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

    /** The first pull from this peer timed out. */
    bool IsRetry = false;
  };

  Duration drawDelay();
  void onTimeout(const VersionId &CurrentVersion, TimePoint Now,
                 DisseminatorActions &Actions);

  ResourceKind Kind;
  std::mt19937_64 Random;
  std::optional<PlannedPull> Planned;
  std::optional<ActivePull> Active;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_SPREAD_PULLSCHEDULER_H
