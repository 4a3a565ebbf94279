#ifndef BLUEBELLBARROW_ROUTING_RETRYBUDGET_H
#define BLUEBELLBARROW_ROUTING_RETRYBUDGET_H

#include "kernel/clock.h"
#include "tree/policy.h"

#include <cstddef>

namespace bluebellbarrow {

/** Tuning of a RetryBudget. */
struct RetryBudgetOptions {
  /** Retries allowed for each first attempt, from 0 to 1. */
  double RetriesPerRequest = 0.1;

  /** Maximum balance, in retries. */
  double MaxBalance = 50;

  /** Retries allowed without any traffic, per second. */
  double MinRetriesPerSecond = 1;

  /** Balance of a new budget, in retries. */
  double InitialBalance = 0;
};

/**
 * Returns one node's share of the retries that a fleet of \a Nodes may make, so
 * that all nodes together stay within the policy without coordination.
 */
RetryBudgetOptions splitRetryBudget(const Policy &RoutePolicy, size_t Nodes);

/**
 * Limits retries to a share of first attempts, so that a failing service does
 * not receive more load than it did when it was healthy.
 *
 * A token bucket: each first attempt deposits a part of a retry, each retry
 * withdraws a whole one. Method: the retry budget of Finagle.
 *
 * Thread safety: none; owned by one task.
 */
class RetryBudget {
public:
  /**
   * Creates a budget with the initial balance at \a Now.
   *
   * \pre every option is finite and not negative.
   */
  RetryBudget(const RetryBudgetOptions &Options, TimePoint Now);

  /** Returns the number of retries that may be made at once. */
  double balance() const { return this->Balance; }

  /** Replaces the tuning; the balance stays. */
  void setOptions(const RetryBudgetOptions &New) { this->Options = New; }

  /**
   * Deposits the share of one first attempt.
   *
   * \pre \a Now is not before the \a Now of the call before.
   */
  void onFirstAttempt(TimePoint Now);

  /**
   * Withdraws one retry. Returns false, and changes nothing, when less than
   * one is left.
   *
   * \pre \a Now is not before the \a Now of the call before.
   */
  [[nodiscard]] bool tryWithdraw(TimePoint Now);

private:
  void deposit(double Retries);
  void depositElapsed(TimePoint Now);

  RetryBudgetOptions Options;
  double Balance = 0;
  TimePoint LastDeposit;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_ROUTING_RETRYBUDGET_H
