#ifndef BLUEBELLBARROW_ROUTING_RETRYBUDGET_H
#define BLUEBELLBARROW_ROUTING_RETRYBUDGET_H

#include "kernel/clock.h"
#include "tree/policy.h"

#include <cstddef>
#include <cstdint>
#include <random>

namespace bluebellbarrow {

/** Tuning of a RetryBudget. */
struct RetryBudgetOptions {
  /** Retries allowed for each first attempt, from 0 to 1. */
  double RetriesPerRequest = 0.1;

  /** Maximum balance, in retries; it may be less than one. */
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
 * In a large fleet, the share of a node may be less than one retry. The node
 * then permits a retry from a random balance between zero and one on, and owes
 * the rest, so that the fleet makes as many retries as all shares together
 * permit. A third of the deposits that exceed the maximum balance is kept for a
 * short time, for nodes whose requests earn retries.
 *
 * Thread safety: none; owned by one task.
 */
class RetryBudget {
public:
  /**
   * Creates a budget with the initial balance at \a Now. The seeds of the nodes
   * of a fleet should differ.
   *
   * \pre every option is finite and not negative.
   */
  RetryBudget(const RetryBudgetOptions &Options, uint64_t Seed, TimePoint Now);

  /**
   * Returns the number of retries that may be made at once. It is negative
   * while the node owes a part of its last retry.
   */
  double balance() const { return this->Balance + this->RecentBalance; }

  /** Replaces the tuning; the balance stays. */
  void setOptions(const RetryBudgetOptions &New) { this->Options = New; }

  /**
   * Deposits the share of one first attempt.
   *
   * \pre \a Now is not before the \a Now of the call before.
   */
  void onFirstAttempt(TimePoint Now);

  /**
   * Withdraws one retry. Returns false, and changes nothing, when the balance
   * is too low.
   *
   * \pre \a Now is not before the \a Now of the call before.
   */
  [[nodiscard]] bool tryWithdraw(TimePoint Now);

private:
  bool holdsWholeRetry() const { return this->Options.MaxBalance >= 1; }

  void deposit(double Retries);
  void depositElapsed(TimePoint Now);
  void drawThreshold(TimePoint Now);

  RetryBudgetOptions Options;
  std::mt19937_64 Random;
  double Balance = 0;

  /** Recent deposits beyond the maximum balance; they expire. */
  double RecentBalance = 0;

  /** Balance from which a retry is permitted, without room for a whole one. */
  double Threshold = 1;

  /** When Threshold is drawn again. */
  TimePoint NextDraw;

  TimePoint LastDeposit;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_ROUTING_RETRYBUDGET_H
