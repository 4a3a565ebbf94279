#include "weightedroundrobin.h"

#include <algorithm>
#include <numeric>

namespace bluebellbarrow {

namespace {

/** Steps of a sequence that a restart skips at most. */
constexpr uint64_t MaxSkippedSteps = 1000;

std::vector<double> weightsOf(const RouteEntry &Route) {
  std::vector<double> Weights;
  for (const WeightedServiceIndex &Weighted : Route.WeightedServices)
    Weights.push_back(Weighted.Weight);
  return Weights;
}

} // namespace

size_t WeightedRoundRobin::Sequence::next() {
  for (size_t Index = 0; Index < this->Current.size(); ++Index)
    this->Current[Index] += this->Weights[Index];
  const auto Chosen =
      std::max_element(this->Current.begin(), this->Current.end());
  *Chosen -= std::accumulate(this->Weights.begin(), this->Weights.end(), 0.0);
  return static_cast<size_t>(Chosen - this->Current.begin());
}

void WeightedRoundRobin::restart(Sequence &Changed,
                                 std::vector<double> Weights) {
  Changed.Current.assign(Weights.size(), 0);
  Changed.Weights = std::move(Weights);
  for (uint64_t Steps = this->Random() % MaxSkippedSteps; Steps > 0; --Steps)
    Changed.next();
}

size_t WeightedRoundRobin::next(const RouteEntry &Route) {
  if (Route.WeightedServices.size() == 1)
    return 0;
  std::vector<double> Weights = weightsOf(Route);
  Sequence &Known = this->Sequences[Route.Name];
  if (Known.Weights != Weights)
    this->restart(Known, std::move(Weights));
  return Known.next();
}

} // namespace bluebellbarrow
