#include "balancer.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace bluebellbarrow {

namespace {

/** Part of a request's use that is lost by a call to another domain. */
constexpr double FarLoss = 0.02;

/** The same for each KB that crosses between domains. */
constexpr double FarLossPerKb = 0.03;

/** Part of a request's use that is lost when its answer comes late. */
constexpr double LateLoss = 0.7;

/** Weight of the expected end among upstreams that lose as much. */
constexpr double EndLoss = 0.02;

/** Part of the run by which a full upstream counts later than an idle one. */
constexpr double LoadShare = 0.3;

/** Advantage of the target beside the node, which needs no other node. */
constexpr double OwnGain = 0.002;

/** Difference of losses below which upstreams count as equal. */
constexpr double Tie = 0.004;

constexpr double BytesPerKb = 1024;

/** Relative deviation that is assumed of runs at least. */
constexpr double LeastDeviation = 0.1;

/**
 * Returns the chance that a run takes longer than \a Left, taking runs for
 * log-normal.
 */
double chanceLonger(double Left, double Mean, double Deviation) {
  if (Left <= 0)
    return 1;
  if (Mean <= 0)
    return 0;
  const double Relative = std::max(LeastDeviation, Deviation / Mean);
  const double Variance = std::log1p(Relative * Relative);
  const double Center = std::log(Mean) - Variance / 2;
  return std::erfc((std::log(Left) - Center) / std::sqrt(2 * Variance)) / 2;
}

double seconds01(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

double farLoss(const Candidate &Of) {
  if (Of.IsLocal)
    return -OwnGain;
  return Of.InSameDomain
             ? 0
             : FarLoss + FarLossPerKb * Of.ExpectedBytes / BytesPerKb;
}

double lossOf(const Candidate &Of) {
  const double Wait = seconds01(Of.ExpectedWait);
  const double Run =
      seconds01(Of.ServiceTime) * (1 + LoadShare * std::min(Of.Load, 1.0));
  const double Deviation = seconds01(Of.ServiceTimeDeviation);
  const double Late =
      chanceLonger(seconds01(Of.TimeToSoftDeadline) - Wait, Run, Deviation);
  const double Lost =
      chanceLonger(seconds01(Of.TimeToDeadline) - Wait, Run, Deviation);
  const double Works = 1 - Of.ErrorRate;
  const double Use = Works * (1 - LateLoss * Late - (1 - LateLoss) * Lost);
  const double End =
      (Wait + Run) / std::max(seconds01(Of.TimeToSoftDeadline), 1e-3);
  return 1 - Use + EndLoss * End + farLoss(Of);
}

/**
 * Takes the upstream at which least of the request's use is expected to be
 * lost: by an answer that comes late or not at all, by a failure, and by
 * bytes that cross between failure domains.
 *
 * Load pattern: targets of uneven speed; queues that differ while one failure
 * domain has more callers than its share of targets; targets that fail part
 * of what they get. At light load calls stay in their domain.
 */
class LeastLossBalancer : public Balancer {
public:
  size_t choose(std::span<const Candidate> From,
                std::mt19937_64 &Random) override {
    std::vector<double> Losses;
    Losses.reserve(From.size());
    for (const Candidate &Each : From)
      Losses.push_back(lossOf(Each));
    const double Best = *std::min_element(Losses.begin(), Losses.end());
    std::vector<size_t> Equal;
    for (size_t Index = 0; Index < Losses.size(); ++Index)
      if (Losses[Index] <= Best + Tie)
        Equal.push_back(Index);
    std::uniform_int_distribution<size_t> Draw(0, Equal.size() - 1);
    return Equal[Draw(Random)];
  }
};

const BalancerRegistry::Registration<LeastLossBalancer>
    Registered("least-loss");

} // namespace

} // namespace bluebellbarrow
