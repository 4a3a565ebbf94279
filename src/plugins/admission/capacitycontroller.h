#ifndef BLUEBELLBARROW_ADMISSION_CAPACITYCONTROLLER_H
#define BLUEBELLBARROW_ADMISSION_CAPACITYCONTROLLER_H

#include "kernel/clock.h"

#include <array>
#include <cstddef>

namespace bluebellbarrow {

/**
 * Finds out how many requests at once a target takes well, at most its slots.
 *
 * The numbers of concurrent requests are divided into bands. For each band the
 * controller keeps how long requests took, relative to the mean of their route.
 * Where more concurrent requests complete fewer in the same time, and not by
 * chance, the limit falls; otherwise it rises, slowly, up to the slots. A
 * target that is always in its highest band is given less for a short time now
 * and then, to compare. What is no longer observed fades, so no estimate holds
 * for good, and a target without load keeps all of its slots.
 *
 * Load pattern: targets that slow down long before they are full, neighbours on
 * their machines, a slow minute, restarts.
 *
 * Source: the throughput knee by Little's law; additive increase and
 * multiplicative decrease, as in TCP.
 * Makes decisions only. Thread safety: none; owned by one task.
 */
class CapacityController {
public:
  /** \pre \a Slots is positive. */
  CapacityController(size_t Slots, TimePoint Now);

  /** Changes the number of slots; what was observed is forgotten. */
  void setSlots(size_t Slots);

  /** Forgets what was observed, since the target has started again. */
  void reset();

  /**
   * Called when the target has completed a request. \a Concurrency is the
   * number of requests that ran meanwhile, with this one; \a RelativeTime is
   * its service time divided by the mean of its route.
   */
  void onFinished(double Concurrency, double RelativeTime, TimePoint Now);

  /** Returns how many requests may run at once, from 1 to the slots. */
  size_t limit(TimePoint Now);

private:
  static constexpr size_t BandCount = 4;

  /** Fading statistics of the logarithms of relative times. */
  struct Band {
    double Weight = 0;
    double Sum = 0;
    double SumOfSquares = 0;
    double SumOfConcurrency = 0;
    TimePoint FadedAt;
    TimePoint ObservedAt;
  };

  size_t bandOf(double Concurrency) const;
  static void fade(Band &Faded, TimePoint Now);

  /** Begins or ends a time in which a lower band is observed. */
  void updateDip(size_t Highest, TimePoint Now);

  /** Returns true if \a Upper completes less than \a Lower, not by chance. */
  static bool isWorse(const Band &Upper, const Band &Lower);

  /** Returns true if band \a Index completes less than a lower one. */
  bool isWorseThanLower(size_t Index, TimePoint Now) const;

  size_t Slots;
  double Limit;
  std::array<Band, BandCount> Bands{};
  TimePoint DecidedAt;

  /** Until then, the limit is DipLimit. */
  TimePoint DipUntil;
  TimePoint NextDip;
  double DipLimit = 0;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_ADMISSION_CAPACITYCONTROLLER_H
