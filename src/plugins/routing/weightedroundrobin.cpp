#include "weightedroundrobin.h"

#include <algorithm>

namespace bluebellbarrow {

size_t WeightedRoundRobin::next(const RouteEntry &Route) {
  if (Route.WeightedServices.size() == 1)
    return 0;
  std::vector<double> &Weights = this->CurrentWeights[Route.Name];
  if (Weights.size() != Route.WeightedServices.size())
    Weights.assign(Route.WeightedServices.size(), 0);
  double TotalWeight = 0;
  for (size_t Index = 0; Index < Weights.size(); ++Index) {
    Weights[Index] += Route.WeightedServices[Index].Weight;
    TotalWeight += Route.WeightedServices[Index].Weight;
  }
  const auto Chosen = std::max_element(Weights.begin(), Weights.end());
  *Chosen -= TotalWeight;
  return static_cast<size_t>(Chosen - Weights.begin());
}

} // namespace bluebellbarrow
