#ifndef BLUEBELLBARROW_ROUTING_WORKESTIMATE_H
#define BLUEBELLBARROW_ROUTING_WORKESTIMATE_H

#include "kernel/ids.h"
#include "timemean.h"

#include <unordered_map>

namespace bluebellbarrow {

/**
 * The time that targets take for the requests of each route.
 *
 * Thread safety: none; owned by one task.
 */
class WorkEstimate {
public:
  /** Takes in the time of one request. */
  void add(const RouteName &Route, Duration Time) {
    this->Routes[Route].add(Time);
    this->All.add(Time);
  }

  /** Returns the mean of \a Route; that of all for one not measured yet. */
  Duration of(const RouteName &Route) const {
    const auto Found = this->Routes.find(Route);
    return Found == this->Routes.end() ? this->All.mean()
                                       : Found->second.mean();
  }

  /** Returns a time that few requests of \a Route exceed, if it is known. */
  std::optional<Duration> longest(const RouteName &Route) const {
    const auto Found = this->Routes.find(Route);
    return Found == this->Routes.end() ? std::nullopt : Found->second.longest();
  }

private:
  std::unordered_map<RouteName, TimeMean> Routes;
  TimeMean All;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_ROUTING_WORKESTIMATE_H
