#include "balancer.h"

#include <algorithm>
#include <vector>

namespace bluebellbarrow {

namespace {

/** Load at which a new request takes the last free slot of a target. */
constexpr double FullLoad = 1.0;

/** Load added to the cost of an upstream in another failure domain. */
constexpr double CrossDomainPenalty = 0.5;

/** Load added to the cost of an upstream when all its calls fail. */
constexpr double ErrorPenalty = 4.0;

/** Error rate from which on the local target is no longer preferred. */
constexpr double MaxLocalErrorRate = 0.1;

double cost(const UpstreamCandidate &C) {
  return C.Load + (C.InSameDomain ? 0 : CrossDomainPenalty) +
         C.ErrorRate * ErrorPenalty;
}

/**
 * Draws two different entries of \a Pool, which are indices into
 * \a Candidates, and returns the one of lower cost.
 */
size_t betterOfTwo(std::span<const UpstreamCandidate> Candidates,
                   const std::vector<size_t> &Pool, std::mt19937_64 &Random) {
  std::uniform_int_distribution<size_t> First(0, Pool.size() - 1);
  const size_t A = First(Random);
  if (Pool.size() == 1)
    return Pool[A];
  std::uniform_int_distribution<size_t> Second(0, Pool.size() - 2);
  size_t B = Second(Random);
  if (B >= A)
    ++B;
  return cost(Candidates[Pool[A]]) <= cost(Candidates[Pool[B]]) ? Pool[A]
                                                                : Pool[B];
}

/**
 * Chooses the local target while it has more than one free slot and few errors,
 * else the better of two random upstreams in the failure domain. If the cost of
 * that one reaches FullLoad, it is compared with the better of two random
 * upstreams of all domains.
 *
 * Method: the power of two choices (Mitzenmacher).
 */
class TwoChoicesBalancer : public Balancer {
public:
  size_t choose(std::span<const UpstreamCandidate> Candidates,
                std::mt19937_64 &Random) override {
    std::vector<size_t> SameDomain;
    std::vector<size_t> All;
    for (size_t Index = 0; Index < Candidates.size(); ++Index) {
      const UpstreamCandidate &C = Candidates[Index];
      if (C.IsLocal && C.Load < FullLoad && C.ErrorRate < MaxLocalErrorRate)
        return Index;
      All.push_back(Index);
      if (C.InSameDomain)
        SameDomain.push_back(Index);
    }
    if (SameDomain.empty())
      return betterOfTwo(Candidates, All, Random);
    const size_t BestInDomain = betterOfTwo(Candidates, SameDomain, Random);
    if (cost(Candidates[BestInDomain]) < FullLoad)
      return BestInDomain;
    const size_t BestOfAll = betterOfTwo(Candidates, All, Random);
    return cost(Candidates[BestOfAll]) < cost(Candidates[BestInDomain])
               ? BestOfAll
               : BestInDomain;
  }
};

const BalancerRegistry::Registration<TwoChoicesBalancer>
    Registered("two-choices");

} // namespace

} // namespace bluebellbarrow
