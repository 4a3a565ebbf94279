#ifndef BLUEBELLBARROW_ROUTING_DURATIONEWMA_H
#define BLUEBELLBARROW_ROUTING_DURATIONEWMA_H

#include "kernel/clock.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace bluebellbarrow {

/**
 * A mean of times, and how far they lie from it; newer ones count more.
 *
 * Thread safety: none.
 */
class DurationEwma {
public:
  /** Takes in one time. */
  void add(Duration Time) {
    this->SampleCount += 1;
    const double Weight = std::max(MinNewestWeight, 1.0 / this->SampleCount);
    const std::chrono::duration<double> Seconds = Time;
    const double Off = Seconds.count() - this->Mean;
    this->Mean += Weight * Off;
    this->Variance = (1 - Weight) * (this->Variance + Weight * Off * Off);
  }

  /** Returns true once a time was taken in. */
  bool hasSamples() const { return this->SampleCount > 0; }

  /** Returns the mean; zero while nothing is known. */
  Duration mean() const {
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(this->Mean));
  }

  /** Returns the standard deviation. */
  Duration deviation() const {
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(std::sqrt(this->Variance)));
  }

  /** Returns a time that few exceed; nothing while too few are known. */
  std::optional<Duration> upperBound() const {
    if (this->SampleCount < MinSamples)
      return std::nullopt;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
        this->Mean + UpperBoundDeviations * std::sqrt(this->Variance)));
  }

private:
  /** Standard deviations above the mean that count as unusual. */
  static constexpr double UpperBoundDeviations = 3;

  /** Times from which on the deviation is trusted. */
  static constexpr double MinSamples = 20;

  /** Least weight of the newest time. */
  static constexpr double MinNewestWeight = 0.05;

  double SampleCount = 0;

  /** In seconds. */
  double Mean = 0;

  /** In seconds squared. */
  double Variance = 0;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_ROUTING_DURATIONEWMA_H
