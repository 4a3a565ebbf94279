#ifndef BLUEBELLBARROW_ROUTING_WAITRULE_H
#define BLUEBELLBARROW_ROUTING_WAITRULE_H

#include "kernel/clock.h"

#include <algorithm>

namespace bluebellbarrow {

/** Share of its remaining time that a late request may spend in the queue. */
inline constexpr double DefaultLateWaitShare = 0.1;

/** Remaining time of a request. */
struct TimeLeft {
  /** Time until the soft deadline. */
  Duration ToSoftDeadline{};

  /** Time until the deadline. */
  Duration ToDeadline{};
};

/** Returns the maximum wait of a request that misses its soft deadline. */
inline Duration maxLateWait(Duration ServiceTime, const TimeLeft &Left,
                            double Share = DefaultLateWaitShare) {
  const auto MaxWait = std::chrono::duration_cast<Duration>(
      (Left.ToDeadline - ServiceTime) * Share);
  return std::max(MaxWait, Duration::zero());
}

/**
 * Returns true if a request with an expected wait of \a Wait should queue: it
 * completes before its soft deadline, or the wait is short compared with the
 * time to its deadline.
 */
inline bool shouldWait(Duration Wait, Duration ServiceTime,
                       const TimeLeft &Left,
                       double Share = DefaultLateWaitShare) {
  return Wait + ServiceTime <= Left.ToSoftDeadline ||
         Wait <= maxLateWait(ServiceTime, Left, Share);
}

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_ROUTING_WAITRULE_H
