#ifndef BLUEBELLBARROW_ROUTING_TIMEMEAN_H
#define BLUEBELLBARROW_ROUTING_TIMEMEAN_H

#include "kernel/clock.h"

#include <algorithm>

namespace bluebellbarrow {

/**
 * A mean of times in which newer ones count more.
 *
 * Thread safety: none.
 */
class TimeMean {
public:
  /** Takes in one time. */
  void add(Duration Time) {
    this->Count += 1;
    const double Weight = std::max(NewestWeight, 1.0 / this->Count);
    const std::chrono::duration<double> Seconds = Time;
    this->Mean += Weight * (Seconds.count() - this->Mean);
  }

  /** Returns true once a time was taken in. */
  bool known() const { return this->Count > 0; }

  /** Returns the mean; zero while nothing is known. */
  Duration mean() const {
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(this->Mean));
  }

private:
  /** Least weight of the newest time. */
  static constexpr double NewestWeight = 0.05;

  double Count = 0;

  /** In seconds. */
  double Mean = 0;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_ROUTING_TIMEMEAN_H
