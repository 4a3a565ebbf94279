#ifndef BLUEBELLBARROW_ROUTING_WEIGHTEDROUNDROBIN_H
#define BLUEBELLBARROW_ROUTING_WEIGHTEDROUNDROBIN_H

#include "tree/snapshot.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace bluebellbarrow {

/**
 * Divides the requests of a route between services by their weights. The
 * proportions hold within any short sequence of requests, not only on average.
 *
 * Method: smooth weighted round-robin, as in nginx. Thread safety: none.
 */
class WeightedRoundRobin {
public:
  /** Returns the index of the service for the next request of \a Route. */
  size_t next(const RouteEntry &Route);

private:
  /** Current weight of each of a route's services. */
  std::map<RouteName, std::vector<double>> CurrentWeights;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_ROUTING_WEIGHTEDROUNDROBIN_H
