#include "gracefulshutdown.h"

#include <algorithm>

namespace bluebellbarrow {

namespace {

/** Time without open requests after which the process may end. */
constexpr Duration QuietTime = milliseconds(100);

/** Time before the process is killed in which it ends what is left. */
constexpr Duration KillMargin = milliseconds(800);

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
  if (Now - *this->StartedAt >= this->Options.Timeout - KillMargin)
    return ShutdownPhase::Terminating;
  return Now - *this->StartedAt >= this->Options.LeaveGracePeriod
             ? ShutdownPhase::Draining
             : ShutdownPhase::Leaving;
}

bool GracefulShutdown::mayExit(size_t Open, TimePoint LastOpen,
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
  const TimePoint Drains = *this->StartedAt + this->Options.LeaveGracePeriod;
  return Open == 0 && Now - std::max(LastOpen, Drains) >= QuietTime;
}

} // namespace bluebellbarrow
