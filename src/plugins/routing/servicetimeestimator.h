#ifndef BLUEBELLBARROW_ROUTING_SERVICETIMEESTIMATOR_H
#define BLUEBELLBARROW_ROUTING_SERVICETIMEESTIMATOR_H

#include "durationewma.h"
#include "kernel/ids.h"

#include <unordered_map>

namespace bluebellbarrow {

/** Estimated mean and standard deviation of a service time. */
struct ServiceTimeEstimate {
  Duration Mean{};
  Duration Deviation{};
};

/**
 * Estimates the service time of each route. Until a route has been measured, a
 * fraction of its latency objective is used, as objectives are set above the
 * mean service time.
 *
 * Thread safety: none; owned by one task.
 */
class ServiceTimeEstimator {
public:
  /** Adds the service time of one request. */
  void add(const RouteName &Route, Duration ServiceTime) {
    this->Routes[Route].add(ServiceTime);
  }

  /**
   * Returns the estimate for \a Route, derived from its \a LatencyObjective
   * until a service time has been added.
   */
  ServiceTimeEstimate estimate(const RouteName &Route,
                               Duration LatencyObjective) const {
    const auto Found = this->Routes.find(Route);
    if (Found != this->Routes.end())
      return {.Mean = Found->second.mean(),
              .Deviation = Found->second.deviation()};
    const auto AssumedMean = std::chrono::duration_cast<Duration>(
        LatencyObjective * AssumedMeanFraction);
    return {.Mean = AssumedMean, .Deviation = AssumedMean / 2};
  }

  /** Returns the mean service time of \a Route; nothing without samples. */
  std::optional<Duration> mean(const RouteName &Route) const {
    const auto Found = this->Routes.find(Route);
    return Found == this->Routes.end() ? std::nullopt
                                       : std::optional(Found->second.mean());
  }

  /**
   * Returns a service time that few requests of \a Route exceed; nothing while
   * there are too few samples.
   */
  std::optional<Duration> upperBound(const RouteName &Route) const {
    const auto Found = this->Routes.find(Route);
    return Found == this->Routes.end() ? std::nullopt
                                       : Found->second.upperBound();
  }

private:
  /** Mean assumed without samples, as a fraction of the latency objective. */
  static constexpr double AssumedMeanFraction = 0.35;

  std::unordered_map<RouteName, DurationEwma> Routes;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_ROUTING_SERVICETIMEESTIMATOR_H
