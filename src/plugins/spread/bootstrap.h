#ifndef BLUEBELLBARROW_SPREAD_BOOTSTRAP_H
#define BLUEBELLBARROW_SPREAD_BOOTSTRAP_H

#include "controlmessages.h"
#include "kernel/clock.h"

#include <optional>

namespace bluebellbarrow {

/** Why a node may take versions from the platform. */
enum class BootstrapOutcome { Pending, CaughtUp, PeersSilent, TimedOut };

/**
 * Keeps a process that has just started from taking an old version from a
 * stale platform: it waits until peers have told it the newest version that
 * they know and it has that one, or until all have stayed silent.
 *
 * Thread safety: none; owned by one task.
 */
class Bootstrap {
public:
  explicit Bootstrap(Duration Silence) : SilenceTimeout(Silence) {}

  /** The first peers have been asked. Later calls have no effect. */
  void onPeersQueried(TimePoint Now);

  /** A peer says which version it has in force. */
  void onPeerVersion(const VersionTag &Tag, TimePoint Now);

  /** Looks at the state; returns the cause when it has just settled. */
  BootstrapOutcome poll(const VersionTag &InForce, TimePoint Now);

  /** Settles at once. */
  void complete() { this->Complete = true; }

  bool isComplete() const { return this->Complete; }

private:
  Duration SilenceTimeout;
  std::optional<TimePoint> FirstQuery;
  VersionTag HighestVersion;
  TimePoint HighestVersionSeen;
  bool Complete = false;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_SPREAD_BOOTSTRAP_H
