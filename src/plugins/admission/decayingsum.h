#ifndef BLUEBELLBARROW_ADMISSION_DECAYINGSUM_H
#define BLUEBELLBARROW_ADMISSION_DECAYINGSUM_H

#include "kernel/clock.h"

#include <cmath>

namespace bluebellbarrow {

/**
 * A sum whose addends decay exponentially with age.
 *
 * Thread safety: none.
 */
class DecayingSum {
public:
  /** Seconds after which an addend has decayed to 1/e. */
  static constexpr double TimeConstantSeconds = 1.0;

  /** Returns the weight of an addend of \a Age. */
  static double decayFactor(Duration Age) {
    const std::chrono::duration<double> Seconds = Age;
    return std::exp(-Seconds.count() / TimeConstantSeconds);
  }

  void add(double Value, TimePoint Now) {
    this->Sum = this->at(Now) + Value;
    this->LastUpdate = Now;
  }

  /** Returns the sum at \a Now. \pre \a Now is not before the last add(). */
  double at(TimePoint Now) const {
    return this->Sum * decayFactor(Now - this->LastUpdate);
  }

private:
  double Sum = 0;
  TimePoint LastUpdate;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_ADMISSION_DECAYINGSUM_H
