#ifndef BLUEBELLBARROW_ROUTING_WEIGHTEDROUNDROBIN_H
#define BLUEBELLBARROW_ROUTING_WEIGHTEDROUNDROBIN_H

#include "tree/snapshot.h"

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace bluebellbarrow {

/**
 * Divides the requests of a route between services by their weights. The
 * proportions hold within any short sequence of requests, not only on average.
 * A route whose weights have changed starts anew, at a random point of its
 * sequence, so that the nodes of a fleet do not all begin with one service.
 *
 * Method: smooth weighted round-robin, as in nginx. Thread safety: none.
 */
class WeightedRoundRobin {
public:
  explicit WeightedRoundRobin(uint64_t Seed) : Random(Seed) {}

  /** Returns the index of the service for the next request of \a Route. */
  size_t next(const RouteEntry &Route);

private:
  /** The sequence of one route. */
  struct Sequence {
    /** Weights as the route has them. */
    std::vector<double> Weights;

    /** Current weight of each service; their sum is zero. */
    std::vector<double> Current;

    size_t next();
  };

  void restart(Sequence &Changed, std::vector<double> Weights);

  std::mt19937_64 Random;
  std::map<RouteName, Sequence> Sequences;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_ROUTING_WEIGHTEDROUNDROBIN_H
