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
 * Simulates calls for 40 s to a service whose targets refuse more than half of
 * their requests: each call is retried if the budget of its node permits it.
 * Returns the maximum number of retries of the fleet beyond the policy's ratio
 * within any 10 s.
 */
double maxRetriesBeyondRatio(size_t Nodes, double RatePerNode,
                             const Policy &RoutePolicy) {
  std::vector<RetryBudget> Budgets(
      Nodes, RetryBudget(splitRetryBudget(RoutePolicy, Nodes), Start));
  std::deque<TimePoint> Requests;
  std::deque<TimePoint> Retries;
  double Max = 0;
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
    Max = std::max(Max, static_cast<double>(Retries.size()) -
                            RoutePolicy.RetryRatio *
                                static_cast<double>(Requests.size()));
  }
  return Max;
}

} // namespace

Test(retrybudget, nodes_together_stay_within_the_policy) {
  Policy RoutePolicy = defaultPolicy();
  RoutePolicy.RetryRatio = 0.2;
  for (const double Burst : {58.0, 174.0})
    for (const size_t Nodes : {1, 9, 67})
      for (const double Rate : {1.0, 7.0, 40.0}) {
        RoutePolicy.RetryBurst = Burst;
        cr_expect_leq(maxRetriesBeyondRatio(Nodes, Rate, RoutePolicy), Burst,
                      "%zu nodes, %f requests per second", Nodes, Rate);
      }
}

Test(retrybudget, idle_node_accrues_at_most_its_share_of_half_the_burst) {
  Policy RoutePolicy = defaultPolicy();
  RoutePolicy.RetryRatio = 0.2;
  RoutePolicy.RetryBurst = 90;
  RetryBudget Budget(splitRetryBudget(RoutePolicy, 9), Start);
  int Retries = 0;
  while (Budget.tryWithdraw(Start + std::chrono::hours(1)))
    ++Retries;
  cr_expect_eq(Retries, 5);
}

Test(retrybudget, burst_may_be_fractional) {
  const std::vector<KeySpec> Keys = overridableKeys();
  const Result<NodeSettings> Settings =
      parseNodeSettings("node.ini",
                        "[node]\nmesh = m\nname = a\naddress = 127.0.0.1\n"
                        "domain = d\nservice = s\n[platform]\n"
                        "address = 127.0.0.2\n[policy]\n"
                        "retry-burst = 36.81818181818181\n",
                        Keys);
  cr_assert(static_cast<bool>(Settings));
  const Policy RoutePolicy =
      makeSnapshotDefaults(Settings.value().Overrides).CallPolicy;
  cr_expect_float_eq(RoutePolicy.RetryBurst, 36.818, 0.001);
}
