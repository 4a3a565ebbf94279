#ifndef BLUEBELLBARROW_SPREAD_BOOTSTRAP_H
#define BLUEBELLBARROW_SPREAD_BOOTSTRAP_H

#include "kernel/clock.h"
#include "spreadmessages.h"

#include <optional>

namespace bluebellbarrow {

/** Why a node may take versions from the platform. */
enum class SettledBy { NotYet, Peers, Silence, GivenUp };

/**
 * Keeps a process that has just started from taking an old version from a
 * stale platform: it waits until peers have told it the newest version that
 * they know and it has that one, or until all have stayed silent.
 *
 * Thread safety: none; owned by one task.
 */
class Bootstrap {
public:
  explicit Bootstrap(Duration Silence) : Silence(Silence) {}

  /** The first peers have been asked. Later calls have no effect. */
  void onAsked(TimePoint Now);

  /** A peer says which version it has in force. */
  void onHeard(const VersionTag &Tag, TimePoint Now);

  /** Looks at the state; returns the cause when it has just settled. */
  SettledBy poll(const VersionTag &InForce, TimePoint Now);

  /** Settles at once. */
  void settle() { this->Settled = true; }

  bool settled() const { return this->Settled; }

private:
  Duration Silence;
  std::optional<TimePoint> Asked;
  VersionTag Highest;
  TimePoint HeardHighest;
  bool Settled = false;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_SPREAD_BOOTSTRAP_H
