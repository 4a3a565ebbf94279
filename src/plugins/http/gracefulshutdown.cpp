#include "gracefulshutdown.h"

#include <algorithm>

namespace bluebellbarrow {

namespace {

/** Time without open requests after which the process may exit. */
constexpr Duration IdleBeforeExit = milliseconds(100);

/** Time before the kill at which open requests are failed. */
constexpr Duration TerminationMargin = milliseconds(800);

} // namespace

void GracefulShutdown::begin(const GracefulShutdownOptions &New,
                             TimePoint Now) {
  if (this->StartedAt)
    return;
  this->Options = New;
  this->StartedAt = Now;
}

ShutdownPhase GracefulShutdown::phase(TimePoint Now) const {
  if (!this->StartedAt)
    return ShutdownPhase::Running;
  if (Now - *this->StartedAt >= this->Options.Timeout - TerminationMargin)
    return ShutdownPhase::Terminating;
  return Now - *this->StartedAt >= this->Options.LeaveGracePeriod
             ? ShutdownPhase::Draining
             : ShutdownPhase::Leaving;
}

bool GracefulShutdown::mayExit(size_t Unfinished, TimePoint LastOpenAt,
                               TimePoint Now) const {
  switch (this->phase(Now)) {
  case ShutdownPhase::Running:
  case ShutdownPhase::Leaving:
    return false;
  case ShutdownPhase::Terminating:
    return true;
  case ShutdownPhase::Draining:
    break;
  }
  const TimePoint DrainingSince =
      *this->StartedAt + this->Options.LeaveGracePeriod;
  return Unfinished == 0 &&
         Now - std::max(LastOpenAt, DrainingSince) >= IdleBeforeExit;
}

} // namespace bluebellbarrow
