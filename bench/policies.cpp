/**
 * \file
 * Measures the policies under load and faults in virtual time: goodput and
 * p99 at several loads, calls at the end of a failing chain, and one bad
 * upstream among good ones; each policy against the plain baseline.
 */

#include "callsimulation.h"

#include <algorithm>
#include <iomanip>
#include <iostream>

namespace bluebellbarrow {

namespace {

constexpr double Seconds = 5;
constexpr double TailShare = 0.99;

struct Variant {
  const char *Name;
  void (*Apply)(CallSimulationOptions &);
};

constexpr std::array<Variant, 5> Variants = {{
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

/** What callers saw in one run. */
struct Seen {
  uint64_t Calls = 0;
  uint64_t Good = 0;
  uint64_t NotRun = 0;
  std::vector<double> Millis;

  double p99() {
    if (this->Millis.empty())
      return 0;
    const auto Index = static_cast<size_t>(
        TailShare * static_cast<double>(this->Millis.size() - 1));
    std::nth_element(this->Millis.begin(),
                     this->Millis.begin() + static_cast<int64_t>(Index),
                     this->Millis.end());
    return this->Millis[Index];
  }
};

/** Makes calls with random gaps at \a Rate per second. */
Seen drive(CallSimulation &World, double Rate) {
  Seen Result;
  std::mt19937_64 Random(42);
  std::exponential_distribution<double> Gap(Rate);
  double At = 0;
  while ((At += Gap(Random)) < Seconds) {
    const auto When =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(At));
    World.call(
        World.now() + When, "c" + std::to_string(Result.Calls++),
        [&Result](const SimulatedCallResult &End) {
          Result.Good += End.Succeeded ? 1 : 0;
          Result.NotRun += End.Result == Outcome::NotRun ? 1 : 0;
          if (End.Succeeded)
            Result.Millis.push_back(
                std::chrono::duration<double, std::milli>(End.Latency).count());
        });
  }
  World.run();
  return Result;
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
    for (const Variant &Each : Variants) {
      CallSimulationOptions Options;
      Each.Apply(Options);
      CallSimulation World(Options);
      Seen Result = drive(World, Load * capacity(Options));
      std::cout << "| " << Load << " | " << Each.Name << " | "
                << static_cast<double>(Result.Good) / Seconds << " | "
                << Result.p99() << " | " << Result.NotRun << " | "
                << Result.Calls - Result.Good - Result.NotRun << " | "
                << static_cast<double>(World.targetCalls(0)) /
                       static_cast<double>(Result.Calls)
                << " |\n";
    }
}

void measureChain() {
  std::cout << "\nA chain of 5 services; every call at the last one fails.\n\n"
               "| policy | calls at service 1 | 2 | 3 | 4 | 5, per caller's "
               "call |\n| --- | --- | --- | --- | --- | --- |\n";
  for (const Variant &Each : Variants) {
    CallSimulationOptions Options{.ChainLength = 5, .Deadline = seconds(1)};
    Options.Idempotent = true;
    Each.Apply(Options);
    CallSimulation World(Options);
    for (size_t Index = 0; Index < Options.UpstreamsPerService; ++Index)
      World.setErrorRate(4, Index, 1);
    const Seen Result = drive(World, 200);
    std::cout << "| " << Each.Name;
    for (size_t Service = 0; Service < Options.ChainLength; ++Service)
      std::cout << " | "
                << static_cast<double>(World.targetCalls(Service)) /
                       static_cast<double>(Result.Calls);
    std::cout << " |\n";
  }
}

void measureBadUpstream() {
  std::cout << "\nOne of 4 upstreams is bad, load 0.6.\n\n| fault | policy | "
               "goodput/s | p99 ms of good | share of calls at the bad one "
               "|\n| --- | --- | --- | --- | --- |\n";
  for (const bool Slow : {true, false})
    for (const Variant &Each : Variants) {
      CallSimulationOptions Options;
      Each.Apply(Options);
      CallSimulation World(Options);
      if (Slow)
        World.setSlowdown(0, 1, 10);
      else
        World.setErrorRate(0, 1, 1);
      Seen Result = drive(World, 0.6 * capacity(Options));
      std::cout << "| " << (Slow ? "10 times slower" : "errors at once")
                << " | " << Each.Name << " | "
                << static_cast<double>(Result.Good) / Seconds << " | "
                << Result.p99() << " | "
                << static_cast<double>(World.targetCalls(0, 1)) /
                       static_cast<double>(World.targetCalls(0))
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
