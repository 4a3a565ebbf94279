#include "balancer.h"

#include <algorithm>
#include <vector>

namespace bluebellbarrow {

namespace {

/** Load at which all slots of a target are taken. */
constexpr double FullLoad = 1.0;

/** Load that a call to another failure domain counts as more. */
constexpr double FarPenalty = 0.5;

/** Load that a target counts as more when all its calls fail. */
constexpr double ErrorPenalty = 4.0;

/** Error rate above which the own target loses its preference. */
constexpr double MaxOwnErrorRate = 0.1;

double costOf(const Candidate &Of) {
  return Of.Load + (Of.InSameDomain ? 0 : FarPenalty) +
         Of.ErrorRate * ErrorPenalty;
}

/** Draws two different indices of \a Pool and returns the cheaper one. */
size_t betterOfTwo(std::span<const Candidate> From,
                   const std::vector<size_t> &Pool, std::mt19937_64 &Random) {
  std::uniform_int_distribution<size_t> First(0, Pool.size() - 1);
  const size_t A = First(Random);
  if (Pool.size() == 1)
    return Pool[A];
  std::uniform_int_distribution<size_t> Second(0, Pool.size() - 2);
  size_t B = Second(Random);
  if (B >= A)
    ++B;
  return costOf(From[Pool[A]]) <= costOf(From[Pool[B]]) ? Pool[A] : Pool[B];
}

/**
 * Takes the own target while it has a free slot, else the better of two draws
 * in the failure domain, and spills over when both of these are full.
 *
 * Method: the power of two choices (Mitzenmacher).
 */
class TwoChoicesBalancer : public Balancer {
public:
  size_t choose(std::span<const Candidate> From,
                std::mt19937_64 &Random) override {
    std::vector<size_t> Near;
    std::vector<size_t> All;
    for (size_t Index = 0; Index < From.size(); ++Index) {
      const Candidate &Each = From[Index];
      if (Each.IsLocal && Each.Load < FullLoad &&
          Each.ErrorRate < MaxOwnErrorRate)
        return Index;
      All.push_back(Index);
      if (Each.InSameDomain)
        Near.push_back(Index);
    }
    if (Near.empty())
      return betterOfTwo(From, All, Random);
    const size_t Best = betterOfTwo(From, Near, Random);
    if (costOf(From[Best]) < FullLoad)
      return Best;
    const size_t Any = betterOfTwo(From, All, Random);
    return costOf(From[Any]) < costOf(From[Best]) ? Any : Best;
  }
};

const BalancerRegistry::Registration<TwoChoicesBalancer>
    Registered("two-choices");

} // namespace

} // namespace bluebellbarrow
