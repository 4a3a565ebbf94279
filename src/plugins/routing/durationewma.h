#ifndef BLUEBELLBARROW_ROUTING_DURATIONEWMA_H
#define BLUEBELLBARROW_ROUTING_DURATIONEWMA_H

#include "kernel/clock.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace bluebellbarrow {

/**
 * Exponentially weighted mean and variance of durations.
 *
 * Thread safety: none.
 */
class DurationEwma {
public:
  /** Adds a sample. */
  void add(Duration Time) {
    this->SampleCount += 1;
    const double Weight = std::max(MinNewestWeight, 1.0 / this->SampleCount);
    const std::chrono::duration<double> Seconds = Time;
    const double Difference = Seconds.count() - this->Mean;
    this->Mean += Weight * Difference;
    this->Variance =
        (1 - Weight) * (this->Variance + Weight * Difference * Difference);
  }

  bool hasSamples() const { return this->SampleCount > 0; }

  /** Returns the mean; zero without samples. */
  Duration mean() const {
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(this->Mean));
  }

  /** Returns the standard deviation. */
  Duration deviation() const {
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(std::sqrt(this->Variance)));
  }

  /** Returns a duration that few samples exceed, once there are enough. */
  std::optional<Duration> upperBound() const {
    if (this->SampleCount < MinSamples)
      return std::nullopt;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
        this->Mean + UpperBoundDeviations * std::sqrt(this->Variance)));
  }

private:
  /** Standard deviations from the mean to the upper bound. */
  static constexpr double UpperBoundDeviations = 3;

  /** Samples that the upper bound needs. */
  static constexpr double MinSamples = 20;

  /** Minimum weight of the newest sample. */
  static constexpr double MinNewestWeight = 0.05;

  double SampleCount = 0;

  /** In seconds. */
  double Mean = 0;

  /** In seconds squared. */
  double Variance = 0;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_ROUTING_DURATIONEWMA_H
