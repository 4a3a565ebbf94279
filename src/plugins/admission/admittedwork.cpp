#include "admittedwork.h"

namespace bluebellbarrow {

void AdmittedWork::add(int64_t Priority, Duration Work, TimePoint Now) {
  const std::chrono::duration<double> Seconds = Work;
  this->Ranks[Priority].add(Seconds.count(), Now);
}

double AdmittedWork::rateBefore(int64_t Priority, bool AndSame,
                                TimePoint Now) const {
  double Sum = 0;
  for (const auto &[Rank, Each] : this->Ranks)
    if (Rank < Priority || (AndSame && Rank == Priority))
      Sum += Each.at(Now);
  return Sum / FadingSum::FadeSeconds;
}

} // namespace bluebellbarrow
