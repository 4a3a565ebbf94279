#ifndef BLUEBELLBARROW_ROUTING_SERVICETIMEESTIMATOR_H
#define BLUEBELLBARROW_ROUTING_SERVICETIMEESTIMATOR_H

#include "durationewma.h"
#include "kernel/ids.h"

#include <unordered_map>

namespace bluebellbarrow {

/** The time that a target takes for a request. */
struct ServiceTimeEstimate {
  Duration Mean{};
  Duration Deviation{};
};

/**
 * The time that targets take for the requests of each route. Until a route was
 * measured, a part of its aim is taken: aims are set above the usual time.
 *
 * Thread safety: none; owned by one task.
 */
class ServiceTimeEstimator {
public:
  /** Takes in the time of one request. */
  void add(const RouteName &Route, Duration Time) {
    this->Routes[Route].add(Time);
  }

  /** Returns the work of a request of \a Route, which has \a Aim. */
  ServiceTimeEstimate estimate(const RouteName &Route, Duration Aim) const {
    const auto Found = this->Routes.find(Route);
    if (Found != this->Routes.end())
      return {.Mean = Found->second.mean(),
              .Deviation = Found->second.deviation()};
    const auto Guess =
        std::chrono::duration_cast<Duration>(Aim * LatencyObjectiveShare);
    return {.Mean = Guess, .Deviation = Guess / 2};
  }

  /** Returns the mean time of \a Route, if it was measured. */
  std::optional<Duration> mean(const RouteName &Route) const {
    const auto Found = this->Routes.find(Route);
    return Found == this->Routes.end() ? std::nullopt
                                       : std::optional(Found->second.mean());
  }

  /** Returns a time that few requests of \a Route exceed, if it is known. */
  std::optional<Duration> upperBound(const RouteName &Route) const {
    const auto Found = this->Routes.find(Route);
    return Found == this->Routes.end() ? std::nullopt
                                       : Found->second.upperBound();
  }

private:
  /** Part of the aim that a request of an unknown route is taken to need. */
  static constexpr double LatencyObjectiveShare = 0.35;

  std::unordered_map<RouteName, DurationEwma> Routes;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_ROUTING_SERVICETIMEESTIMATOR_H
