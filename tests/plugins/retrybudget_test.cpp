#include "kernel/nodesettings.h"
#include "plugins/routing/retrybudget.h"
#include "tree/snapshotdefaults.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <deque>
#include <vector>

using namespace bluebellbarrow; // NOLINT: test

namespace {

const TimePoint Start = TimePoint(seconds(1000));

/**
 * Plays a service whose targets refuse more than half of what they get, for
 * as long as callers come; returns the most retries that a fleet makes beyond
 * the policy's share in any ten seconds.
 */
double mostBeyondShare(size_t Nodes, double RatePerNode, const Policy &Rules) {
  std::vector<RetryBudget> Budgets(
      Nodes, RetryBudget(splitRetryBudget(Rules, Nodes), Start));
  std::deque<TimePoint> Requests;
  std::deque<TimePoint> Retries;
  double Most = 0;
  constexpr int Ticks = 4000;
  for (int Tick = 0; Tick < Ticks; ++Tick) {
    const TimePoint Now = Start + milliseconds(10) * Tick;
    for (size_t Index = 0; Index < Nodes; ++Index) {
      const bool Sends = static_cast<int>(Tick * RatePerNode / 100) !=
                         static_cast<int>((Tick + 1) * RatePerNode / 100);
      if (!Sends)
        continue;
      Budgets[Index].onFirstAttempt(Now);
      Requests.push_back(Now);
      if (Budgets[Index].tryWithdraw(Now))
        Retries.push_back(Now);
    }
    while (!Requests.empty() && Now - Requests.front() > seconds(10))
      Requests.pop_front();
    while (!Retries.empty() && Now - Retries.front() > seconds(10))
      Retries.pop_front();
    Most = std::max(Most, static_cast<double>(Retries.size()) -
                              Rules.RetryRatio *
                                  static_cast<double>(Requests.size()));
  }
  return Most;
}

} // namespace

Test(retrybudget, all_nodes_together_stay_within_the_policy) {
  Policy Rules = defaultPolicy();
  Rules.RetryRatio = 0.2;
  for (const double Burst : {58.0, 174.0})
    for (const size_t Nodes : {1, 9, 67})
      for (const double Rate : {1.0, 7.0, 40.0}) {
        Rules.RetryBurst = Burst;
        cr_expect_leq(mostBeyondShare(Nodes, Rate, Rules), Burst,
                      "%zu nodes, %f a second", Nodes, Rate);
      }
}

Test(retrybudget, a_node_without_traffic_saves_up_little) {
  Policy Rules = defaultPolicy();
  Rules.RetryRatio = 0.2;
  Rules.RetryBurst = 90;
  RetryBudget Budget(splitRetryBudget(Rules, 9), Start);
  int Made = 0;
  while (Budget.tryWithdraw(Start + std::chrono::hours(1)))
    ++Made;
  cr_expect_eq(Made, 5);
}

Test(retrybudget, a_fleet_may_have_a_fraction_of_a_retry) {
  const std::vector<KeySpec> Keys = overridableKeys();
  const Result<NodeSettings> Settings =
      parseNodeSettings("node.ini",
                        "[node]\nmesh = m\nname = a\naddress = 127.0.0.1\n"
                        "domain = d\nservice = s\n[platform]\n"
                        "address = 127.0.0.2\n[policy]\n"
                        "retry-burst = 36.81818181818181\n",
                        Keys);
  cr_assert(static_cast<bool>(Settings));
  const Policy Rules =
      makeSnapshotDefaults(Settings.value().Overrides).CallPolicy;
  cr_expect_float_eq(Rules.RetryBurst, 36.818, 0.001);
}
