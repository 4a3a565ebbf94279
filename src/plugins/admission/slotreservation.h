#ifndef BLUEBELLBARROW_ADMISSION_SLOTRESERVATION_H
#define BLUEBELLBARROW_ADMISSION_SLOTRESERVATION_H

#include "decayingsum.h"

#include <cstdint>
#include <map>

namespace bluebellbarrow {

/**
 * Keeps some of a target's slots free of less urgent requests, while urgent
 * ones are turned away although the order of waiting favours them: a run is
 * never interrupted, so a request with little time finds every slot held by
 * long runs. Nothing is kept while nothing urgent is turned away, nor from
 * ranks that are hardly served any more.
 *
 * Load pattern: for seconds more work than slots, short urgent requests (or
 * calls of targets) beside long ones. Method: trunk reservation of telephone
 * networks, adjusted by what is turned away.
 * A decision object. Thread safety: none; owned by one task.
 */
class SlotReservation {
public:
  /** A request of \a Priority came, for a target with \a Slots. */
  void onArrival(int64_t Priority, size_t Slots, TimePoint Now);

  /** A request of \a Priority was refused for what runs and waits. */
  void onShed(int64_t Priority, TimePoint Now);

  /** Returns the slots that a request of \a Priority must leave free. */
  size_t reservedForHigher(int64_t Priority, TimePoint Now) const;

private:
  struct PriorityStats {
    DecayingSum Arrivals;
    DecayingSum ShedCount;

    /** Slots that less urgent requests leave free. */
    double Reserved = 0;

    TimePoint LastArrival;
  };

  /** Share of requests that were turned away. */
  static double shedRatio(double TurnedAway, double Asked);
  double lowerShedRatio(int64_t Priority, TimePoint Now) const;

  std::map<int64_t, PriorityStats> StatsByPriority;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_ADMISSION_SLOTRESERVATION_H
