#include "weightedroundrobin.h"

#include <algorithm>

namespace bluebellbarrow {

size_t WeightedRoundRobin::next(const RouteEntry &Route) {
  if (Route.WeightedServices.size() == 1)
    return 0;
  std::vector<double> &Owed = this->CurrentWeights[Route.Name];
  if (Owed.size() != Route.WeightedServices.size())
    Owed.assign(Route.WeightedServices.size(), 0);
  double Sum = 0;
  for (size_t Index = 0; Index < Owed.size(); ++Index) {
    Owed[Index] += Route.WeightedServices[Index].Weight;
    Sum += Route.WeightedServices[Index].Weight;
  }
  const auto Chosen = std::max_element(Owed.begin(), Owed.end());
  *Chosen -= Sum;
  return static_cast<size_t>(Chosen - Owed.begin());
}

} // namespace bluebellbarrow
