#include "balancer.h"

#include <algorithm>
#include <vector>

namespace bluebellbarrow {

namespace {

/** Share of the aim by which a call to another failure domain counts later. */
constexpr double FarShare = 0.25;

/** Share of the aim by which an upstream whose calls all fail counts later. */
constexpr double ErrorShare = 2.0;

/** Share of the run by which a full upstream counts later than an idle one. */
constexpr double LoadShare = 0.3;

/** Share of the aim by which the target beside the node counts earlier. */
constexpr double OwnShare = 0.01;

/** Share of the best cost within which upstreams count as equal. */
constexpr double Tie = 0.02;

double costOf(const Candidate &Of) {
  const auto Aim = static_cast<double>(Of.Aim.count());
  const auto Run = static_cast<double>(Of.Run.count());
  const double Place = Of.Own ? -OwnShare : (Of.Near ? 0 : FarShare);
  return static_cast<double>(Of.Wait.count()) +
         Run * (1 + LoadShare * std::min(Of.Load, 1.0)) +
         Aim * (Place + ErrorShare * Of.ErrorRate);
}

/**
 * Takes the upstream from which the answer is expected first, counting a call
 * to another failure domain and a failing upstream as later.
 *
 * Load pattern: targets of uneven speed, and queues that differ while one
 * failure domain has more callers than its share of targets.
 */
class LeastWaitBalancer : public Balancer {
public:
  size_t choose(std::span<const Candidate> From,
                std::mt19937_64 &Random) override {
    std::vector<double> Costs;
    Costs.reserve(From.size());
    for (const Candidate &Each : From)
      Costs.push_back(costOf(Each));
    const double Best = *std::min_element(Costs.begin(), Costs.end());
    const double Slack = Tie * static_cast<double>(From.front().Aim.count());
    std::vector<size_t> Equal;
    for (size_t Index = 0; Index < Costs.size(); ++Index)
      if (Costs[Index] <= Best + Slack)
        Equal.push_back(Index);
    std::uniform_int_distribution<size_t> Draw(0, Equal.size() - 1);
    return Equal[Draw(Random)];
  }
};

const BalancerRegistry::Registration<LeastWaitBalancer>
    Registered("least-wait");

} // namespace

} // namespace bluebellbarrow
