#include "admittedload.h"

namespace bluebellbarrow {

void AdmittedLoad::add(int64_t Priority, Duration ServiceTime, TimePoint Now) {
  const std::chrono::duration<double> Seconds = ServiceTime;
  this->LoadByPriority[Priority].add(Seconds.count(), Now);
}

double AdmittedLoad::loadAhead(int64_t Priority, bool IncludeSame,
                               TimePoint Now) const {
  double Sum = 0;
  for (const auto &[OtherPriority, Load] : this->LoadByPriority)
    if (OtherPriority < Priority || (IncludeSame && OtherPriority == Priority))
      Sum += Load.at(Now);
  return Sum / DecayingSum::TimeConstantSeconds;
}

} // namespace bluebellbarrow
