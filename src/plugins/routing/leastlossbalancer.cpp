#include "balancer.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace bluebellbarrow {

namespace {

// Losses are fractions of a request's value, which is 1 for a response before
// the soft deadline.

/** Loss of a call to another failure domain. */
constexpr double CrossDomainLoss = 0.02;

/** Additional loss for each KB that crosses between failure domains. */
constexpr double CrossDomainLossPerKb = 0.03;

/**
 * Largest loss for the bytes of a call to another failure domain. It is below
 * that of a late response, so that a long response which would be late goes
 * there.
 */
constexpr double MaxCrossDomainLoss = 0.5;

/** Loss of a response after the soft deadline. */
constexpr double LateLoss = 0.7;

/**
 * Weight of the completion time, relative to the time to the soft deadline. It
 * decides between upstreams of equal loss.
 */
constexpr double CompletionWeight = 0.02;

/** Increase of the service time from an idle to a fully loaded upstream. */
constexpr double FullLoadSlowdown = 0.3;

/** Bonus of the local target, which involves no other node. */
constexpr double LocalBonus = 0.002;

/** Difference of losses up to which upstreams count as equal. */
constexpr double TieMargin = 0.004;

constexpr double BytesPerKb = 1024;

/** Minimum relative standard deviation that is assumed of service times. */
constexpr double MinRelativeDeviation = 0.1;

/**
 * Returns the probability that a service time exceeds \a Threshold, all in
 * seconds. Service times are modelled as log-normal.
 */
double exceedProbability(double Threshold, double Mean, double Deviation) {
  if (Threshold <= 0)
    return 1;
  if (Mean <= 0)
    return 0;
  const double RelativeDeviation =
      std::max(MinRelativeDeviation, Deviation / Mean);
  const double LogVariance = std::log1p(RelativeDeviation * RelativeDeviation);
  const double LogMean = std::log(Mean) - LogVariance / 2;
  return std::erfc((std::log(Threshold) - LogMean) /
                   std::sqrt(2 * LogVariance)) /
         2;
}

double inSeconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

double crossDomainLoss(const UpstreamCandidate &C) {
  if (C.IsLocal)
    return -LocalBonus;
  if (C.InSameDomain)
    return 0;
  return std::min(MaxCrossDomainLoss, CrossDomainLoss + CrossDomainLossPerKb *
                                                            C.ExpectedBytes /
                                                            BytesPerKb);
}

double expectedLoss(const UpstreamCandidate &C) {
  const double ExpectedWait = inSeconds(C.ExpectedWait);
  const double ServiceTime =
      inSeconds(C.ServiceTime) * (1 + FullLoadSlowdown * std::min(C.Load, 1.0));
  const double Deviation = inSeconds(C.ServiceTimeDeviation);
  const double LateProbability = exceedProbability(
      inSeconds(C.TimeToSoftDeadline) - ExpectedWait, ServiceTime, Deviation);
  const double ExpiredProbability = exceedProbability(
      inSeconds(C.TimeToDeadline) - ExpectedWait, ServiceTime, Deviation);
  const double SuccessProbability = 1 - C.ErrorRate;
  const double Value =
      SuccessProbability *
      (1 - LateLoss * LateProbability - (1 - LateLoss) * ExpiredProbability);
  const double RelativeCompletionTime =
      (ExpectedWait + ServiceTime) /
      std::max(inSeconds(C.TimeToSoftDeadline), 1e-3);
  return 1 - Value + CompletionWeight * RelativeCompletionTime +
         crossDomainLoss(C);
}

/**
 * Chooses the upstream with the least expected loss of the request's value:
 * through a late or missing response, a failure, or bytes that cross between
 * failure domains. Ties are broken at random.
 *
 * Load pattern: targets of uneven speed; uneven queues while one failure domain
 * has more callers than its share of targets; targets that fail a part of their
 * requests. At light load calls stay in their domain.
 */
class LeastLossBalancer : public Balancer {
public:
  size_t choose(std::span<const UpstreamCandidate> Candidates,
                std::mt19937_64 &Random) override {
    std::vector<double> Losses;
    Losses.reserve(Candidates.size());
    for (const UpstreamCandidate &C : Candidates)
      Losses.push_back(expectedLoss(C));
    const double LeastLoss = *std::min_element(Losses.begin(), Losses.end());
    std::vector<size_t> Tied;
    for (size_t Index = 0; Index < Losses.size(); ++Index)
      if (Losses[Index] <= LeastLoss + TieMargin)
        Tied.push_back(Index);
    std::uniform_int_distribution<size_t> Draw(0, Tied.size() - 1);
    return Tied[Draw(Random)];
  }
};

const BalancerRegistry::Registration<LeastLossBalancer>
    Registered("least-loss");

} // namespace

} // namespace bluebellbarrow
