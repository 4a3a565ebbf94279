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

/** A simulated fleet whose nodes send calls to one service. */
struct FleetOptions {
  size_t Nodes = 1;
  double RatePerNode = 1;
  Policy RoutePolicy;

  /** Time from which calls fail. */
  Duration HealthyTime{};

  /** One in this number of calls fails then. */
  int FailurePeriod = 1;
};

/** Retries of a simulated fleet. */
struct FleetResult {
  /** Maximum of those beyond the policy's ratio within any 10 s. */
  double MaxBeyondRatio = 0;

  int Failures = 0;
  int Retries = 0;
};

/**
 * Simulates calls for 40 s: each call that fails is retried if the budget of
 * its node permits it.
 */
FleetResult simulate(const FleetOptions &Options) {
  const Policy &RoutePolicy = Options.RoutePolicy;
  std::vector<RetryBudget> Budgets;
  for (size_t Index = 0; Index < Options.Nodes; ++Index)
    Budgets.emplace_back(splitRetryBudget(RoutePolicy, Options.Nodes), Index,
                         Start);
  std::deque<TimePoint> Requests;
  std::deque<TimePoint> Retries;
  FleetResult Result;
  constexpr int Ticks = 4000;
  int Calls = 0;
  for (int Tick = 0; Tick < Ticks; ++Tick) {
    const TimePoint Now = Start + milliseconds(10) * Tick;
    for (size_t Index = 0; Index < Options.Nodes; ++Index) {
      const bool Sends =
          static_cast<int>(Tick * Options.RatePerNode / 100) !=
          static_cast<int>((Tick + 1) * Options.RatePerNode / 100);
      if (!Sends)
        continue;
      Budgets[Index].onFirstAttempt(Now);
      Requests.push_back(Now);
      if (Now - Start < Options.HealthyTime ||
          ++Calls % Options.FailurePeriod != 0)
        continue;
      Result.Failures += 1;
      if (!Budgets[Index].tryWithdraw(Now))
        continue;
      Result.Retries += 1;
      Retries.push_back(Now);
    }
    while (!Requests.empty() && Now - Requests.front() > seconds(10))
      Requests.pop_front();
    while (!Retries.empty() && Now - Retries.front() > seconds(10))
      Retries.pop_front();
    const double Beyond =
        static_cast<double>(Retries.size()) -
        RoutePolicy.RetryRatio * static_cast<double>(Requests.size());
    Result.MaxBeyondRatio = std::max(Result.MaxBeyondRatio, Beyond);
  }
  return Result;
}

Policy makePolicy(double Burst) {
  Policy RoutePolicy = defaultPolicy();
  RoutePolicy.RetryRatio = 0.2;
  RoutePolicy.RetryBurst = Burst;
  return RoutePolicy;
}

constexpr size_t LargestFleet = 8200;

} // namespace

Test(retrybudget, nodes_together_stay_within_the_policy) {
  for (const double Burst : {36.8, 58.0, 174.0, 630.0})
    for (const size_t Nodes : {1, 9, 67, 295})
      for (const double Rate : {0.3, 1.0, 7.0, 40.0})
        for (const Duration HealthyTime : {seconds(0), seconds(20)}) {
          const FleetResult Result = simulate({.Nodes = Nodes,
                                               .RatePerNode = Rate,
                                               .RoutePolicy = makePolicy(Burst),
                                               .HealthyTime = HealthyTime});
          cr_expect_leq(Result.MaxBeyondRatio, Burst,
                        "burst %f, %zu nodes, %f requests per second, healthy "
                        "for %lld s",
                        Burst, Nodes, Rate,
                        static_cast<long long>(toMilliseconds(HealthyTime)) /
                            1000);
        }
}

Test(retrybudget, the_largest_fleet_stays_within_the_policy) {
  for (const double Burst : {36.8, 630.0})
    for (const double Rate : {0.3, 5.0}) {
      const FleetResult Result = simulate({.Nodes = LargestFleet,
                                           .RatePerNode = Rate,
                                           .RoutePolicy = makePolicy(Burst),
                                           .HealthyTime = seconds(20)});
      cr_expect_leq(Result.MaxBeyondRatio, Burst);
    }
}

Test(retrybudget, a_large_fleet_retries_rare_failures) {
  // The ratio allows 20 retries for each failure. A prime number, so that the
  // failures are not always those of the same nodes.
  constexpr int FailurePeriod = 101;
  for (const size_t Nodes : {size_t{67}, size_t{295}, LargestFleet}) {
    const FleetResult Result = simulate({.Nodes = Nodes,
                                         .RatePerNode = 5,
                                         .RoutePolicy = makePolicy(36.8),
                                         .HealthyTime = seconds(10),
                                         .FailurePeriod = FailurePeriod});
    cr_expect_geq(Result.Retries, Result.Failures / 2,
                  "%zu nodes: %d retries of %d failures", Nodes, Result.Retries,
                  Result.Failures);
  }
}

Test(retrybudget, idle_node_accrues_at_most_its_share_of_half_the_burst) {
  Policy RoutePolicy = defaultPolicy();
  RoutePolicy.RetryRatio = 0.2;
  RoutePolicy.RetryBurst = 90;
  RetryBudget Budget(splitRetryBudget(RoutePolicy, 9), 1, Start);
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
