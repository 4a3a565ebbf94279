#include "retrybudget.h"

#include <algorithm>
#include <cmath>

namespace bluebellbarrow {

namespace {

/**
 * Fraction of the policy's retry ratio that is used. The rest is headroom: a
 * retried request may cause further calls downstream.
 */
constexpr double UsedShare = 0.75;

/** Period that the policy's burst applies to, in seconds. */
constexpr double BurstSeconds = 10;

/** Share of the deposits beyond the maximum balance that is kept. */
constexpr double RecentShare = 1.0 / 3;

/**
 * Standard deviations by which the random number of retries of a fleet stays
 * below the burst.
 */
constexpr double BurstMargin = 3;

/** Returns the burst of a fleet whose nodes permit retries at random. */
double expectedBurst(double Burst) {
  // The number of permitted retries is about Poisson distributed.
  return std::max(0.0, Burst - BurstMargin * std::sqrt(Burst));
}

} // namespace

RetryBudgetOptions splitRetryBudget(const Policy &RoutePolicy, size_t Nodes) {
  const auto NodeCount = static_cast<double>(std::max<size_t>(1, Nodes));
  // Half of the burst is available at once; the other half accrues over the
  // period.
  const bool HoldsWholeRetry = RoutePolicy.RetryBurst / 2 / NodeCount >= 1;
  const double Burst = HoldsWholeRetry ? RoutePolicy.RetryBurst
                                       : expectedBurst(RoutePolicy.RetryBurst);
  const double NodeBurst = Burst / NodeCount;
  return {.RetriesPerRequest = RoutePolicy.RetryRatio * UsedShare,
          .MaxBalance = NodeBurst / 2,
          .MinRetriesPerSecond = NodeBurst / 2 / BurstSeconds,
          .InitialBalance = NodeBurst / 2};
}

RetryBudget::RetryBudget(const RetryBudgetOptions &Options, uint64_t Seed,
                         TimePoint Now)
    : Options(Options), Random(Seed), Balance(Options.InitialBalance),
      LastDeposit(Now) {
  this->drawThreshold(Now);
}

void RetryBudget::onFirstAttempt(TimePoint Now) {
  this->depositElapsed(Now);
  const double Excess = this->Balance + this->Options.RetriesPerRequest -
                        this->Options.MaxBalance;
  this->deposit(this->Options.RetriesPerRequest);
  if (Excess <= 0 || this->holdsWholeRetry())
    return;
  const double MaxRecent = 1 - this->Options.MaxBalance;
  this->RecentBalance =
      std::min(this->RecentBalance + Excess * RecentShare, MaxRecent);
}

bool RetryBudget::tryWithdraw(TimePoint Now) {
  this->depositElapsed(Now);
  if (!this->holdsWholeRetry() && Now >= this->NextDraw)
    this->drawThreshold(Now);
  const double Required = this->holdsWholeRetry() ? 1 : this->Threshold;
  if (this->balance() < Required)
    return false;

  this->Balance = this->balance() - 1;
  this->RecentBalance = 0;
  this->drawThreshold(Now);
  return true;
}

void RetryBudget::deposit(double Retries) {
  this->Balance = std::min(this->Balance + Retries, this->Options.MaxBalance);
}

void RetryBudget::depositElapsed(TimePoint Now) {
  const std::chrono::duration<double> Elapsed = Now - this->LastDeposit;
  this->deposit(Elapsed.count() * this->Options.MinRetriesPerSecond);
  const double MaxRecent = std::max(0.0, 1 - this->Options.MaxBalance);
  const double Expired = Elapsed.count() * MaxRecent / BurstSeconds;
  this->RecentBalance = std::max(0.0, this->RecentBalance - Expired);
  this->LastDeposit = Now;
}

void RetryBudget::drawThreshold(TimePoint Now) {
  this->Threshold = std::uniform_real_distribution<double>(0, 1)(this->Random);
  this->NextDraw = Now + std::chrono::duration_cast<Duration>(
                             std::chrono::duration<double>(BurstSeconds));
}

} // namespace bluebellbarrow
