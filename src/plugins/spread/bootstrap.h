#ifndef BLUEBELLBARROW_SPREAD_BOOTSTRAP_H
#define BLUEBELLBARROW_SPREAD_BOOTSTRAP_H

#include "controlmessages.h"
#include "kernel/clock.h"

#include <optional>

namespace bluebellbarrow {

/** Why a starting node may apply versions from the platform. */
enum class BootstrapOutcome { Pending, CaughtUp, NoPeerVersion, TimedOut };

/**
 * Keeps a process that has just started from applying an old version from a
 * stale platform: it waits until it has the newest version that its peers
 * know, until that one proves unavailable, or until no peer has announced a
 * version in time.
 *
 * Thread safety: none; owned by one task.
 */
class Bootstrap {
public:
  explicit Bootstrap(Duration PeerTimeout) : PeerTimeout(PeerTimeout) {}

  /** The first peers have been queried. Later calls have no effect. */
  void onPeersQueried(TimePoint Now);

  /** A peer has announced its current version. */
  void onPeerVersion(const VersionTag &Tag, TimePoint Now);

  /** Returns the outcome when this call completes bootstrap, else Pending. */
  BootstrapOutcome poll(const VersionTag &Current, TimePoint Now);

  /** Completes bootstrap at once. */
  void complete() { this->Complete = true; }

  bool isComplete() const { return this->Complete; }

private:
  Duration PeerTimeout;
  std::optional<TimePoint> FirstQuery;
  VersionTag HighestVersion;
  TimePoint HighestVersionSeen;
  bool Complete = false;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_SPREAD_BOOTSTRAP_H
