#include "shareplan.h"

#include <algorithm>

namespace bluebellbarrow {

size_t SharePlan::next(const RouteEntry &Route) {
  if (Route.Shares.size() == 1)
    return 0;
  std::vector<double> &Owed = this->Owed[Route.Name];
  if (Owed.size() != Route.Shares.size())
    Owed.assign(Route.Shares.size(), 0);
  double Sum = 0;
  for (size_t Index = 0; Index < Owed.size(); ++Index) {
    Owed[Index] += Route.Shares[Index].Weight;
    Sum += Route.Shares[Index].Weight;
  }
  const auto Chosen = std::max_element(Owed.begin(), Owed.end());
  *Chosen -= Sum;
  return static_cast<size_t>(Chosen - Owed.begin());
}

} // namespace bluebellbarrow
