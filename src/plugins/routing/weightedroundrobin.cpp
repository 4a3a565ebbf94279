#include "weightedroundrobin.h"

#include <algorithm>

namespace bluebellbarrow {

size_t WeightedRoundRobin::next(const RouteEntry &Route) {
  if (Route.WeightedServices.size() == 1)
    return 0;
  std::vector<double> &CurrentOfRoute = this->CurrentWeights[Route.Name];
  // Starts at zero for a new route or a changed number of services.
  if (CurrentOfRoute.size() != Route.WeightedServices.size())
    CurrentOfRoute.assign(Route.WeightedServices.size(), 0);
  double TotalWeight = 0;
  for (size_t Index = 0; Index < CurrentOfRoute.size(); ++Index) {
    CurrentOfRoute[Index] += Route.WeightedServices[Index].Weight;
    TotalWeight += Route.WeightedServices[Index].Weight;
  }
  const auto Chosen =
      std::max_element(CurrentOfRoute.begin(), CurrentOfRoute.end());
  *Chosen -= TotalWeight;
  return static_cast<size_t>(Chosen - CurrentOfRoute.begin());
}

} // namespace bluebellbarrow
