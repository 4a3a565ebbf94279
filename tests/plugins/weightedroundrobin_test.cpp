#include "plugins/routing/weightedroundrobin.h"

#include <criterion/criterion.h>

#include <array>
#include <cmath>

using namespace bluebellbarrow; // NOLINT: test

namespace {

using Weights = std::array<double, 2>;

constexpr std::array<Weights, 7> AllWeights = {
    {{1, 1}, {9000, 1000}, {1, 9}, {97, 3}, {0.001, 0.002}, {5, 0}, {1, 1e6}}};

constexpr int FirstRequests = 200;
constexpr double MaxDeviation = 0.05;

RouteEntry makeRoute(const Weights &Parts) {
  return {.Name = RouteName("r"),
          .WeightedServices = {{.ServiceIndex = 0, .Weight = Parts[0]},
                               {.ServiceIndex = 1, .Weight = Parts[1]}}};
}

/**
 * Returns the share of the first service over the first requests after the
 * weights changed from \a Old to \a New, spread evenly over nodes.
 */
double shareAfterChange(const Weights &Old, const Weights &New, int Nodes) {
  int First = 0;
  for (int Node = 0; Node < Nodes; ++Node) {
    WeightedRoundRobin Split(static_cast<uint64_t>(Node) + 1);
    for (int Request = 0; Request < FirstRequests + Node; ++Request)
      Split.next(makeRoute(Old));
    for (int Request = 0; Request < FirstRequests / Nodes; ++Request)
      First += Split.next(makeRoute(New)) == 0 ? 1 : 0;
  }
  return static_cast<double>(First) / FirstRequests;
}

} // namespace

// Guards against current weights, in the units of the old weights, that
// outlive a change: after 9000 to 1000 the weights 1 to 1 were not followed for
// thousands of requests.
Test(weightedroundrobin, follows_new_weights_from_the_first_requests_on) {
  for (const int Nodes : {1, 20})
    for (const Weights &Old : AllWeights)
      for (const Weights &New : AllWeights)
        cr_expect_lt(std::abs(shareAfterChange(Old, New, Nodes) -
                              New[0] / (New[0] + New[1])),
                     MaxDeviation, "%g:%g to %g:%g at %d nodes", Old[0], Old[1],
                     New[0], New[1], Nodes);
}
