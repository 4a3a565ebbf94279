#include "stopplan.h"

#include <algorithm>

namespace bluebellbarrow {

namespace {

/** Time without open requests after which the process may end. */
constexpr Duration QuietTime = milliseconds(100);

/** Time before the process is killed in which it ends what is left. */
constexpr Duration KillMargin = milliseconds(800);

} // namespace

void StopPlan::begin(const StopPlanOptions &New, TimePoint Now) {
  if (this->Began)
    return;
  this->Options = New;
  this->Began = Now;
}

StopPhase StopPlan::phase(TimePoint Now) const {
  if (!this->Began)
    return StopPhase::Running;
  if (Now - *this->Began >= this->Options.Limit - KillMargin)
    return StopPhase::Over;
  return Now - *this->Began >= this->Options.LeaveTime ? StopPhase::Draining
                                                       : StopPhase::Leaving;
}

bool StopPlan::finished(size_t Open, TimePoint LastOpen, TimePoint Now) const {
  switch (this->phase(Now)) {
  case StopPhase::Running:
  case StopPhase::Leaving:
    return false;
  case StopPhase::Over:
    return true;
  case StopPhase::Draining:
    break;
  }
  const TimePoint Drains = *this->Began + this->Options.LeaveTime;
  return Open == 0 && Now - std::max(LastOpen, Drains) >= QuietTime;
}

} // namespace bluebellbarrow
