#include "callsimulation.h"
#include "golden.h"

#include <criterion/criterion.h>

#include <set>
#include <sstream>

using namespace bluebellbarrow; // NOLINT: test

namespace {

constexpr int CallCount = 300;

/** Injects a fault at one upstream. */
using Fault = void (*)(CallSimulation &, size_t, std::mt19937_64 &);

struct NamedFault {
  const char *Name;
  Fault Inject;
};

constexpr std::array<NamedFault, 6> Faults = {{
    {"restart", [](CallSimulation &Simulation, size_t Index,
                   std::mt19937_64 &) { Simulation.restart(0, Index); }},
    {"break", [](CallSimulation &Simulation, size_t Index,
                 std::mt19937_64 &) { Simulation.breakStreams(0, Index); }},
    {"freeze 100 ms",
     [](CallSimulation &Simulation, size_t Index, std::mt19937_64 &) {
       Simulation.freeze(0, Index, milliseconds(100));
     }},
    {"freeze 2 s",
     [](CallSimulation &Simulation, size_t Index, std::mt19937_64 &) {
       Simulation.freeze(0, Index, seconds(2));
     }},
    {"freeze 30 s",
     [](CallSimulation &Simulation, size_t Index, std::mt19937_64 &) {
       Simulation.freeze(0, Index, seconds(30));
     }},
    {"drain",
     [](CallSimulation &Simulation, size_t Index, std::mt19937_64 &) {
       Simulation.setDraining(0, Index, true);
     }},
}};

/** Outcomes of a run, and violations of the guarantees. */
struct Counts {
  int Answered = 0;
  int NotRun = 0;
  int Unknown = 0;
  int RanAlthoughNotRun = 0;
  int RanTwice = 0;
  int AnsweredTwice = 0;
  int Unanswered = 0;
};

/**
 * Makes calls while two kinds of faults are injected in turn, at random times
 * and upstreams.
 */
Counts runWithFaults(uint64_t Seed, const NamedFault &First,
                     const NamedFault &Second, bool Idempotent) {
  CallSimulation Simulation({.Slots = 3,
                             .QueueLimit = 5,
                             .ServiceTime = milliseconds(20),
                             .Idempotent = Idempotent,
                             .Seed = Seed});
  std::mt19937_64 Random(Seed);
  std::map<std::string, int> AnswerCounts;
  std::set<std::string> ReportedNotRun;
  Counts Result;
  const TimePoint Start = Simulation.now();
  for (int Index = 0; Index < CallCount; ++Index)
    Simulation.call(
        Start + milliseconds(Index * 3), "c" + std::to_string(Index),
        [&](const SimulatedCallResult &Call) {
          AnswerCounts[Call.Id] += 1;
          Result.Answered += Call.Result == Outcome::Answered ? 1 : 0;
          Result.Unknown += Call.Result == Outcome::Unknown ? 1 : 0;
          Result.NotRun += Call.Result == Outcome::NotRun ? 1 : 0;
          if (Call.Result == Outcome::NotRun)
            ReportedNotRun.insert(Call.Id);
        });
  for (int Index = 0; Index < 6; ++Index) {
    const NamedFault &Chosen = Index % 2 == 0 ? First : Second;
    const auto Time = Start + milliseconds(Random() % 900);
    const size_t Target = Random() % 4;
    Simulation.schedule(Time, [&Simulation, &Chosen, &Random, Target] {
      Chosen.Inject(Simulation, Target, Random);
    });
  }
  Simulation.run();
  for (const auto &[Id, Count] : Simulation.runCounts()) {
    Result.RanTwice += Count > 1 ? 1 : 0;
    Result.RanAlthoughNotRun += ReportedNotRun.contains(Id) ? 1 : 0;
  }
  for (int Index = 0; Index < CallCount; ++Index) {
    const int Count = AnswerCounts["c" + std::to_string(Index)];
    Result.AnsweredTwice += Count > 1 ? 1 : 0;
    Result.Unanswered += Count == 0 ? 1 : 0;
  }
  return Result;
}

std::string format(const Counts &Result) {
  std::ostringstream Text;
  Text << "good " << Result.Answered << " not-run " << Result.NotRun
       << " unknown " << Result.Unknown << " | ran though not-run "
       << Result.RanAlthoughNotRun << " ran twice " << Result.RanTwice
       << " answered twice " << Result.AnsweredTwice << " unanswered "
       << Result.Unanswered;
  return Text.str();
}

} // namespace

// A call that is not idempotent runs at most once, is answered exactly once and
// is not reported as not run if it ran, whichever two faults coincide.
Test(call_faults, non_idempotent_calls_run_once_under_two_faults) {
  std::string Report;
  for (const NamedFault &First : Faults)
    for (const NamedFault &Second : Faults) {
      const Counts Result = runWithFaults(7, First, Second, false);
      Report += std::string(First.Name) + " + " + Second.Name + ": " +
                format(Result) + "\n";
      for (uint64_t Seed = 1; Seed <= 10; ++Seed) {
        const Counts Seeded = runWithFaults(Seed, First, Second, false);
        cr_expect_eq(Seeded.RanAlthoughNotRun, 0, "%s + %s, seed %zu",
                     First.Name, Second.Name, Seed);
        cr_expect_eq(Seeded.RanTwice, 0, "%s + %s, seed %zu", First.Name,
                     Second.Name, Seed);
        cr_expect_eq(Seeded.AnsweredTwice + Seeded.Unanswered, 0,
                     "%s + %s, seed %zu", First.Name, Second.Name, Seed);
      }
    }
  expectGolden("call-faults.txt", Report);
}

// Idempotent calls may run more than once, but each is answered exactly once
// and none is reported as not run if it ran. The second fault is always a
// broken stream.
Test(call_faults, idempotent_calls_are_answered_once) {
  for (const NamedFault &First : Faults)
    for (uint64_t Seed = 1; Seed <= 10; ++Seed) {
      const Counts Result = runWithFaults(Seed, First, Faults[1], true);
      cr_expect_eq(Result.AnsweredTwice + Result.Unanswered +
                       Result.RanAlthoughNotRun,
                   0, "%s, seed %zu", First.Name, Seed);
    }
}

// Requests that a draining target refuses are sent to another one.
Test(call_faults, draining_one_target_fails_no_call) {
  CallSimulation Simulation(
      {.Slots = 3, .QueueLimit = 5, .ServiceTime = milliseconds(20)});
  int Failed = 0;
  const TimePoint Start = Simulation.now();
  for (int Index = 0; Index < CallCount; ++Index)
    Simulation.call(Start + milliseconds(Index * 5),
                    "c" + std::to_string(Index),
                    [&Failed](const SimulatedCallResult &Call) {
                      Failed += Call.Succeeded ? 0 : 1;
                    });
  Simulation.schedule(Start + milliseconds(500),
                      [&Simulation] { Simulation.setDraining(0, 1, true); });
  Simulation.run();
  cr_expect_eq(Failed, 0);
}
