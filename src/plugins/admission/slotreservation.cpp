#include "slotreservation.h"

#include <algorithm>
#include <cmath>

namespace bluebellbarrow {

namespace {

/** Part of the loss of less urgent requests that an urgent rank may have. */
constexpr double LossRatio = 0.15;

/** Loss above which less urgent requests are not held off any further. */
constexpr double MostLoss = 0.7;

/** Change of a reserve with each request, in slots. */
constexpr double Step = 0.02;

/** Largest part of the slots that is reserved. */
constexpr double MostShare = 1.0 / 3;

} // namespace

double SlotReservation::shedRatio(double TurnedAway, double Asked) {
  return Asked > 0 ? TurnedAway / Asked : 0;
}

double SlotReservation::lowerShedRatio(int64_t Priority, TimePoint Now) const {
  double TurnedAway = 0;
  double Asked = 0;
  for (auto Each = this->StatsByPriority.upper_bound(Priority);
       Each != this->StatsByPriority.end(); ++Each) {
    TurnedAway += Each->second.ShedCount.at(Now);
    Asked += Each->second.Arrivals.at(Now);
  }
  return shedRatio(TurnedAway, Asked);
}

void SlotReservation::onArrival(int64_t Priority, size_t Slots, TimePoint Now) {
  PriorityStats &Of = this->StatsByPriority[Priority];
  Of.Reserved *= DecayingSum::decayFactor(Now - Of.LastArrival);
  Of.LastArrival = Now;
  Of.Arrivals.add(1, Now);
  const double Lost = shedRatio(Of.ShedCount.at(Now), Of.Arrivals.at(Now));
  const double LostAfter = this->lowerShedRatio(Priority, Now);
  const bool More = Lost > LossRatio * LostAfter && LostAfter < MostLoss;
  const double Most = static_cast<double>(Slots) * MostShare;
  Of.Reserved = std::clamp(Of.Reserved + (More ? Step : -Step), 0.0, Most);
}

void SlotReservation::onShed(int64_t Priority, TimePoint Now) {
  this->StatsByPriority[Priority].ShedCount.add(1, Now);
}

size_t SlotReservation::reservedForHigher(int64_t Priority,
                                          TimePoint Now) const {
  double Reserved = 0;
  for (const auto &[Each, Of] : this->StatsByPriority)
    if (Each < Priority)
      Reserved = std::max(Reserved, Of.Reserved * DecayingSum::decayFactor(
                                                      Now - Of.LastArrival));
  return static_cast<size_t>(std::lround(Reserved));
}

} // namespace bluebellbarrow
