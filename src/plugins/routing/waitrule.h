#ifndef BLUEBELLBARROW_ROUTING_WAITRULE_H
#define BLUEBELLBARROW_ROUTING_WAITRULE_H

#include "kernel/clock.h"

#include <algorithm>

namespace bluebellbarrow {

/** Share of its time left that a request may wait to be answered late. */
inline constexpr double DefaultLateWaitShare = 0.1;

/** The time that a request has, from now on. */
struct TimeLeft {
  /** Time in which an answer is of full use. */
  Duration ToSoftDeadline{};

  /** Time in which an answer is of any use. */
  Duration ToDeadline{};
};

/** Returns the time that a request may wait to be answered late. */
inline Duration maxLateWait(Duration Run, const TimeLeft &Left,
                            double Share = DefaultLateWaitShare) {
  const auto Longest =
      std::chrono::duration_cast<Duration>((Left.ToDeadline - Run) * Share);
  return std::max(Longest, Duration::zero());
}

/**
 * Returns whether a request should wait \a Wait for a run of \a Run: it is
 * answered in its aim, or the wait is short against what is left.
 */
inline bool shouldWait(Duration Wait, Duration Run, const TimeLeft &Left,
                       double Share = DefaultLateWaitShare) {
  return Wait + Run <= Left.ToSoftDeadline ||
         Wait <= maxLateWait(Run, Left, Share);
}

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_ROUTING_WAITRULE_H
