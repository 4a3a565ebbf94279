#ifndef BLUEBELLBARROW_ADMISSION_LINKADMISSION_H
#define BLUEBELLBARROW_ADMISSION_LINKADMISSION_H

#include "plugins/routing/waitrule.h"

#include <algorithm>
#include <optional>

namespace bluebellbarrow {

/** What a request with a long response needs of the VM's network link. */
struct LinkDemand {
  /** Expected time until the response is there. */
  Duration ServiceTime{};

  /** Time in which the link carries all long responses before it. */
  Duration Backlog{};

  /** Time in which the link carries the response itself. */
  Duration Transfer{};

  TimeLeft Left;
};

/**
 * Decides whether the link can carry one more long response in time. Returns
 * the time after which it could, or nothing if it can now.
 *
 * Load pattern: long responses that ask for more than the link carries. Without
 * a decision, all of them come late, and the target has run them for nothing.
 *
 * Thread safety: safe.
 */
inline std::optional<Duration> linkRetryAfter(const LinkDemand &Demand) {
  // The link sends the backlog while the target runs the request.
  const Duration Wait =
      std::max<Duration>(Demand.Backlog - Demand.ServiceTime, Duration::zero());
  const Duration Busy = Demand.ServiceTime + Demand.Transfer;
  if (shouldWait(Wait, Busy, Demand.Left))
    return std::nullopt;
  return Wait - maxLateWait(Busy, Demand.Left);
}

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_ADMISSION_LINKADMISSION_H
