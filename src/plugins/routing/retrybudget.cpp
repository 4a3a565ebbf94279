#include "retrybudget.h"

#include <algorithm>

namespace bluebellbarrow {

namespace {

/**
 * Fraction of the policy's retry ratio that is used. The rest is headroom: a
 * retried request may cause further calls downstream.
 */
constexpr double UsedShare = 0.75;

/** Period that the policy's burst applies to, in seconds. */
constexpr double BurstSeconds = 10;

} // namespace

RetryBudgetOptions splitRetryBudget(const Policy &RoutePolicy, size_t Nodes) {
  const double Burst =
      RoutePolicy.RetryBurst / static_cast<double>(std::max<size_t>(1, Nodes));
  // Half of the burst is available at once; the other half accrues over the
  // period.
  return {.RetriesPerRequest = RoutePolicy.RetryRatio * UsedShare,
          .MaxBalance = Burst / 2,
          .MinRetriesPerSecond = Burst / 2 / BurstSeconds,
          .InitialBalance = Burst / 2};
}

RetryBudget::RetryBudget(const RetryBudgetOptions &Options, TimePoint Now)
    : Options(Options), Balance(Options.InitialBalance), LastDeposit(Now) {}

void RetryBudget::onFirstAttempt(TimePoint Now) {
  this->depositElapsed(Now);
  this->deposit(this->Options.RetriesPerRequest);
}

bool RetryBudget::tryWithdraw(TimePoint Now) {
  this->depositElapsed(Now);
  if (this->Balance < 1)
    return false;

  this->Balance -= 1;
  return true;
}

void RetryBudget::deposit(double Retries) {
  this->Balance = std::min(this->Balance + Retries, this->Options.MaxBalance);
}

void RetryBudget::depositElapsed(TimePoint Now) {
  const std::chrono::duration<double> Elapsed = Now - this->LastDeposit;
  this->deposit(Elapsed.count() * this->Options.MinRetriesPerSecond);
  this->LastDeposit = Now;
}

} // namespace bluebellbarrow
