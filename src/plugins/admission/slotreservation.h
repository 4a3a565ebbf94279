#ifndef BLUEBELLBARROW_ADMISSION_SLOTRESERVATION_H
#define BLUEBELLBARROW_ADMISSION_SLOTRESERVATION_H

#include "decayingsum.h"

#include <cstdint>
#include <map>

namespace bluebellbarrow {

/**
 * Reserves some of a target's slots for more urgent requests while many of them
 * are shed. The order of the queue is not enough: running requests are not
 * preempted, so a request with a short deadline finds every slot occupied by
 * long ones. Shrinks the reservation while few urgent requests are shed
 * compared with less urgent ones, or while most of the less urgent ones are
 * shed.
 *
 * Load pattern: for several seconds, more load than the slots can serve, with
 * short urgent requests (or calls that targets make) among long ones. Method:
 * trunk reservation of telephone networks, adjusted by the share of requests
 * that is shed.
 *
 * Makes decisions only and performs no I/O. Thread safety: none; owned by one
 * task.
 */
class SlotReservation {
public:
  /** Called for each request that arrives for a target with \a Slots. */
  void onArrival(int64_t Priority, size_t Slots, TimePoint Now);

  /** Called when a request of \a Priority is shed or dropped for load. */
  void onShed(int64_t Priority, TimePoint Now);

  /** Returns the slots that a request of \a Priority must leave free. */
  size_t reservedForMoreUrgent(int64_t Priority, TimePoint Now) const;

private:
  struct PriorityStats {
    DecayingSum Arrivals;
    DecayingSum ShedCount;

    /** Slots that less urgent requests must leave free. */
    double Reserved = 0;

    TimePoint LastArrival;
  };

  static double shedRatio(double Shed, double Arrivals);
  double lessUrgentShedRatio(int64_t Priority, TimePoint Now) const;

  std::map<int64_t, PriorityStats> StatsByPriority;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_ADMISSION_SLOTRESERVATION_H
