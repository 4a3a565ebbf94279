/**
 * \file
 * Measures the policies under load and faults in virtual time: goodput and
 * p99 at several loads, calls at each service of a chain whose last service
 * fails, and one slow or failing upstream among healthy ones. Compares each
 * policy with a baseline without admission control or retry budget.
 */

#include "callsimulation.h"

#include <algorithm>
#include <iomanip>
#include <iostream>

namespace bluebellbarrow {

namespace {

constexpr double LoadSeconds = 5;
constexpr double PercentileShare = 0.99;

struct PolicyVariant {
  const char *Name;
  void (*Apply)(CallSimulationOptions &);
};

constexpr std::array<PolicyVariant, 5> Variants = {{
    {"baseline",
     [](CallSimulationOptions &Options) {
       Options.AdmissionEnabled = false;
       Options.NaiveRetries = true;
     }},
    {"admission, random",
     [](CallSimulationOptions &Options) {
       Options.Balance = "random";
       Options.RetryBudget = 1;
     }},
    {"admission, two choices",
     [](CallSimulationOptions &Options) { Options.RetryBudget = 1; }},
    {"and retry budget", [](CallSimulationOptions &) {}},
    {"no retries", [](CallSimulationOptions &Options) { Options.Retries = 0; }},
}};

/** Results of the calls of one run. */
struct CallStatistics {
  uint64_t Calls = 0;
  uint64_t Succeeded = 0;
  uint64_t NotRun = 0;
  std::vector<double> LatenciesMs;

  double p99() {
    if (this->LatenciesMs.empty())
      return 0;
    const auto Index = static_cast<size_t>(
        PercentileShare * static_cast<double>(this->LatenciesMs.size() - 1));
    std::nth_element(this->LatenciesMs.begin(),
                     this->LatenciesMs.begin() + static_cast<int64_t>(Index),
                     this->LatenciesMs.end());
    return this->LatenciesMs[Index];
  }
};

/** Makes calls with exponential interarrival times at \a Rate per second. */
CallStatistics runLoad(CallSimulation &Simulation, double Rate) {
  CallStatistics Statistics;
  std::mt19937_64 Random(42);
  std::exponential_distribution<double> Interarrival(Rate);
  double ArrivalSeconds = 0;
  while ((ArrivalSeconds += Interarrival(Random)) < LoadSeconds) {
    const auto Arrival = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(ArrivalSeconds));
    Simulation.call(
        Simulation.now() + Arrival, "c" + std::to_string(Statistics.Calls++),
        [&Statistics](const SimulatedCallResult &CallResult) {
          Statistics.Succeeded += CallResult.Succeeded ? 1 : 0;
          Statistics.NotRun += CallResult.Result == Outcome::NotRun ? 1 : 0;
          if (CallResult.Succeeded)
            Statistics.LatenciesMs.push_back(
                std::chrono::duration<double, std::milli>(CallResult.Latency)
                    .count());
        });
  }
  Simulation.run();
  return Statistics;
}

double capacity(const CallSimulationOptions &Options) {
  return static_cast<double>(Options.UpstreamsPerService * Options.Slots) /
         std::chrono::duration<double>(Options.ServiceTime).count();
}

void measureLoad() {
  std::cout << "| load | policy | goodput/s | p99 ms of good | not run | "
               "failed | target calls per call |\n|" +
                   std::string(" --- |") +
                   " --- | --- | --- | --- | --- | "
                   "--- |\n";
  for (const double Load : {0.7, 1.0, 1.5, 3.0})
    for (const PolicyVariant &Variant : Variants) {
      CallSimulationOptions Options;
      Variant.Apply(Options);
      CallSimulation Simulation(Options);
      CallStatistics Statistics = runLoad(Simulation, Load * capacity(Options));
      std::cout << "| " << Load << " | " << Variant.Name << " | "
                << static_cast<double>(Statistics.Succeeded) / LoadSeconds
                << " | " << Statistics.p99() << " | " << Statistics.NotRun
                << " | "
                << Statistics.Calls - Statistics.Succeeded - Statistics.NotRun
                << " | "
                << static_cast<double>(Simulation.targetCalls(0)) /
                       static_cast<double>(Statistics.Calls)
                << " |\n";
    }
}

void measureChain() {
  std::cout << "\nA chain of 5 services; every call at the last one fails.\n\n"
               "| policy | calls at service 1 | 2 | 3 | 4 | 5, per caller's "
               "call |\n| --- | --- | --- | --- | --- | --- |\n";
  for (const PolicyVariant &Variant : Variants) {
    CallSimulationOptions Options{.ChainLength = 5, .Deadline = seconds(1)};
    Options.Idempotent = true;
    Variant.Apply(Options);
    CallSimulation Simulation(Options);
    for (size_t Index = 0; Index < Options.UpstreamsPerService; ++Index)
      Simulation.setErrorRate(4, Index, 1);
    const CallStatistics Statistics = runLoad(Simulation, 200);
    std::cout << "| " << Variant.Name;
    for (size_t Service = 0; Service < Options.ChainLength; ++Service)
      std::cout << " | "
                << static_cast<double>(Simulation.targetCalls(Service)) /
                       static_cast<double>(Statistics.Calls);
    std::cout << " |\n";
  }
}

void measureBadUpstream() {
  std::cout << "\nOne of 4 upstreams is bad, load 0.6.\n\n| fault | policy | "
               "goodput/s | p99 ms of good | share of calls at the bad one "
               "|\n| --- | --- | --- | --- | --- |\n";
  for (const bool Slow : {true, false})
    for (const PolicyVariant &Variant : Variants) {
      CallSimulationOptions Options;
      Variant.Apply(Options);
      CallSimulation Simulation(Options);
      if (Slow)
        Simulation.setSlowdown(0, 1, 10);
      else
        Simulation.setErrorRate(0, 1, 1);
      CallStatistics Statistics = runLoad(Simulation, 0.6 * capacity(Options));
      std::cout << "| " << (Slow ? "10 times slower" : "errors at once")
                << " | " << Variant.Name << " | "
                << static_cast<double>(Statistics.Succeeded) / LoadSeconds
                << " | " << Statistics.p99() << " | "
                << static_cast<double>(Simulation.targetCalls(0, 1)) /
                       static_cast<double>(Simulation.targetCalls(0))
                << " |\n";
    }
}

} // namespace

} // namespace bluebellbarrow

int main() {
  std::cout << std::setprecision(4);
  bluebellbarrow::measureLoad();
  bluebellbarrow::measureChain();
  bluebellbarrow::measureBadUpstream();
  return 0;
}
