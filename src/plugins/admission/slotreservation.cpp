#include "slotreservation.h"

#include <algorithm>
#include <cmath>

namespace bluebellbarrow {

namespace {

/**
 * Shed ratio of a priority, relative to that of less urgent ones, above which
 * its reservation grows.
 */
constexpr double MaxRelativeShedRatio = 0.15;

/**
 * Shed ratio of less urgent priorities from which on the reservation shrinks.
 */
constexpr double MaxLessUrgentShedRatio = 0.7;

/** Change of the reservation with each arrival, in slots. */
constexpr double ReservationStep = 0.02;

/** Maximum share of the slots that is reserved. */
constexpr double MaxReservedShare = 1.0 / 3;

} // namespace

double SlotReservation::shedRatio(double Shed, double Arrivals) {
  return Arrivals > 0 ? Shed / Arrivals : 0;
}

double SlotReservation::lessUrgentShedRatio(int64_t Priority,
                                            TimePoint Now) const {
  double Shed = 0;
  double Arrivals = 0;
  for (auto LessUrgent = this->StatsByPriority.upper_bound(Priority);
       LessUrgent != this->StatsByPriority.end(); ++LessUrgent) {
    Shed += LessUrgent->second.ShedCount.at(Now);
    Arrivals += LessUrgent->second.Arrivals.at(Now);
  }
  return shedRatio(Shed, Arrivals);
}

void SlotReservation::onArrival(int64_t Priority, size_t Slots, TimePoint Now) {
  PriorityStats &Stats = this->StatsByPriority[Priority];
  Stats.Reserved *= DecayingSum::decayFactor(Now - Stats.LastArrival);
  Stats.LastArrival = Now;
  Stats.Arrivals.add(1, Now);
  const double ShedRatio =
      shedRatio(Stats.ShedCount.at(Now), Stats.Arrivals.at(Now));
  const double LessUrgentShedRatio = this->lessUrgentShedRatio(Priority, Now);
  const bool Increase =
      ShedRatio > MaxRelativeShedRatio * LessUrgentShedRatio &&
      LessUrgentShedRatio < MaxLessUrgentShedRatio;
  const double MaxReserved = static_cast<double>(Slots) * MaxReservedShare;
  Stats.Reserved = std::clamp(
      Stats.Reserved + (Increase ? ReservationStep : -ReservationStep), 0.0,
      MaxReserved);
}

void SlotReservation::onShed(int64_t Priority, TimePoint Now) {
  this->StatsByPriority[Priority].ShedCount.add(1, Now);
}

size_t SlotReservation::reservedForMoreUrgent(int64_t Priority,
                                              TimePoint Now) const {
  double Reserved = 0;
  for (const auto &[OtherPriority, Stats] : this->StatsByPriority)
    if (OtherPriority < Priority)
      Reserved = std::max(
          Reserved,
          Stats.Reserved * DecayingSum::decayFactor(Now - Stats.LastArrival));
  return static_cast<size_t>(std::lround(Reserved));
}

} // namespace bluebellbarrow
