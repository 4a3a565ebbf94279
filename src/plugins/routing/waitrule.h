#ifndef BLUEBELLBARROW_ROUTING_WAITRULE_H
#define BLUEBELLBARROW_ROUTING_WAITRULE_H

#include "kernel/clock.h"

#include <algorithm>

namespace bluebellbarrow {

/** Share of its time left that a request may wait to be answered late. */
inline constexpr double LateWaitShare = 0.1;

/** The time that a request has, from now on. */
struct TimeLeft {
  /** Time in which an answer is of full use. */
  Duration Aim{};

  /** Time in which an answer is of any use. */
  Duration Deadline{};
};

/** Returns the time that a request may wait to be answered late. */
inline Duration longestLateWait(Duration Run, const TimeLeft &Left,
                                double Share = LateWaitShare) {
  const auto Longest =
      std::chrono::duration_cast<Duration>((Left.Deadline - Run) * Share);
  return std::max(Longest, Duration::zero());
}

/**
 * Returns whether a request should wait \a Wait for a run of \a Run: it is
 * answered in its aim, or the wait is short against what is left.
 */
inline bool shouldWait(Duration Wait, Duration Run, const TimeLeft &Left,
                       double Share = LateWaitShare) {
  return Wait + Run <= Left.Aim || Wait <= longestLateWait(Run, Left, Share);
}

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_ROUTING_WAITRULE_H
