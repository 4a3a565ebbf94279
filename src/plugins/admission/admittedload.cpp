#include "admittedload.h"

namespace bluebellbarrow {

void AdmittedLoad::add(int64_t Priority, Duration Work, TimePoint Now) {
  const std::chrono::duration<double> Seconds = Work;
  this->LoadByPriority[Priority].add(Seconds.count(), Now);
}

double AdmittedLoad::loadAhead(int64_t Priority, bool AndSame,
                               TimePoint Now) const {
  double Sum = 0;
  for (const auto &[Rank, Each] : this->LoadByPriority)
    if (Rank < Priority || (AndSame && Rank == Priority))
      Sum += Each.at(Now);
  return Sum / DecayingSum::TimeConstantSeconds;
}

} // namespace bluebellbarrow
