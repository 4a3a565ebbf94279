#include "admittedwork.h"

#include <cmath>

namespace bluebellbarrow {

namespace {

/** Seconds in which work fades to 1/e. */
constexpr double FadeSeconds = 1.0;

} // namespace

double AdmittedWork::faded(const Fading &Of, TimePoint Now) {
  const std::chrono::duration<double> Age = Now - Of.Last;
  return Of.Sum * std::exp(-Age.count() / FadeSeconds);
}

void AdmittedWork::add(int64_t Priority, Duration Work, TimePoint Now) {
  Fading &Rank = this->Ranks[Priority];
  const std::chrono::duration<double> Seconds = Work;
  Rank.Sum = faded(Rank, Now) + Seconds.count();
  Rank.Last = Now;
}

double AdmittedWork::rateBefore(int64_t Priority, bool AndSame,
                                TimePoint Now) const {
  double Sum = 0;
  for (const auto &[Rank, Each] : this->Ranks)
    if (Rank < Priority || (AndSame && Rank == Priority))
      Sum += faded(Each, Now);
  return Sum / FadeSeconds;
}

} // namespace bluebellbarrow
