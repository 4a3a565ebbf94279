#include "retrybudget.h"

#include <algorithm>

namespace bluebellbarrow {

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
