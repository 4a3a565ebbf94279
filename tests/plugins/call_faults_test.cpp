#include "callsimulation.h"
#include "golden.h"

#include <criterion/criterion.h>

#include <set>
#include <sstream>

using namespace bluebellbarrow; // NOLINT: test

namespace {

constexpr int Calls = 300;

/** A fault, thrown at some upstream at some time. */
using Fault = void (*)(CallSimulation &, size_t, std::mt19937_64 &);

struct NamedFault {
  const char *Name;
  Fault Strike;
};

constexpr std::array<NamedFault, 6> Faults = {{
    {"restart", [](CallSimulation &World, size_t Index,
                   std::mt19937_64 &) { World.restart(0, Index); }},
    {"break", [](CallSimulation &World, size_t Index,
                 std::mt19937_64 &) { World.breakStreams(0, Index); }},
    {"freeze 100 ms",
     [](CallSimulation &World, size_t Index, std::mt19937_64 &) {
       World.freeze(0, Index, milliseconds(100));
     }},
    {"freeze 2 s",
     [](CallSimulation &World, size_t Index, std::mt19937_64 &) {
       World.freeze(0, Index, seconds(2));
     }},
    {"freeze 30 s",
     [](CallSimulation &World, size_t Index, std::mt19937_64 &) {
       World.freeze(0, Index, seconds(30));
     }},
    {"drain", [](CallSimulation &World, size_t Index,
                 std::mt19937_64 &) { World.setDraining(0, Index, true); }},
}};

/** Counts of a run, and what must never be. */
struct Tally {
  int Good = 0;
  int NotRun = 0;
  int Unknown = 0;
  int RanAlthoughNotRun = 0;
  int RanTwice = 0;
  int AnsweredTwice = 0;
  int Unanswered = 0;
};

/** Makes calls while two kinds of faults strike at random. */
Tally strike(uint64_t Seed, const NamedFault &One, const NamedFault &Two,
             bool Idempotent) {
  CallSimulation World({.Slots = 3,
                        .QueueLimit = 5,
                        .ServiceTime = milliseconds(20),
                        .Idempotent = Idempotent,
                        .Seed = Seed});
  std::mt19937_64 Random(Seed);
  std::map<std::string, int> Answers;
  std::set<std::string> SaidNotRun;
  Tally Sum;
  const TimePoint Start = World.now();
  for (int Index = 0; Index < Calls; ++Index)
    World.call(Start + milliseconds(Index * 3), "c" + std::to_string(Index),
               [&](const SimulatedCallResult &End) {
                 Answers[End.Id] += 1;
                 Sum.Good += End.Result == Outcome::Answered ? 1 : 0;
                 Sum.Unknown += End.Result == Outcome::Unknown ? 1 : 0;
                 Sum.NotRun += End.Result == Outcome::NotRun ? 1 : 0;
                 if (End.Result == Outcome::NotRun)
                   SaidNotRun.insert(End.Id);
               });
  for (int Index = 0; Index < 6; ++Index) {
    const NamedFault &Chosen = Index % 2 == 0 ? One : Two;
    const auto When = Start + milliseconds(Random() % 900);
    const size_t Target = Random() % 4;
    World.schedule(When, [&World, &Chosen, &Random, Target] {
      Chosen.Strike(World, Target, Random);
    });
  }
  World.run();
  for (const auto &[Id, Count] : World.runCounts()) {
    Sum.RanTwice += Count > 1 ? 1 : 0;
    Sum.RanAlthoughNotRun += SaidNotRun.contains(Id) ? 1 : 0;
  }
  for (int Index = 0; Index < Calls; ++Index) {
    const int Count = Answers["c" + std::to_string(Index)];
    Sum.AnsweredTwice += Count > 1 ? 1 : 0;
    Sum.Unanswered += Count == 0 ? 1 : 0;
  }
  return Sum;
}

std::string toLine(const Tally &Of) {
  std::ostringstream Text;
  Text << "good " << Of.Good << " not-run " << Of.NotRun << " unknown "
       << Of.Unknown << " | ran though not-run " << Of.RanAlthoughNotRun
       << " ran twice " << Of.RanTwice << " answered twice " << Of.AnsweredTwice
       << " unanswered " << Of.Unanswered;
  return Text.str();
}

} // namespace

Test(call_faults, two_at_once_never_run_twice_or_lie) {
  std::string Session;
  for (const NamedFault &One : Faults)
    for (const NamedFault &Two : Faults) {
      const Tally Sum = strike(7, One, Two, false);
      Session +=
          std::string(One.Name) + " + " + Two.Name + ": " + toLine(Sum) + "\n";
      for (uint64_t Seed = 1; Seed <= 10; ++Seed) {
        const Tally Each = strike(Seed, One, Two, false);
        cr_expect_eq(Each.RanAlthoughNotRun, 0, "%s + %s, seed %zu", One.Name,
                     Two.Name, Seed);
        cr_expect_eq(Each.RanTwice, 0, "%s + %s, seed %zu", One.Name, Two.Name,
                     Seed);
        cr_expect_eq(Each.AnsweredTwice + Each.Unanswered, 0,
                     "%s + %s, seed %zu", One.Name, Two.Name, Seed);
      }
    }
  expectGolden("call-faults.txt", Session);
}

Test(call_faults, idempotent_calls_get_one_answer_each) {
  for (const NamedFault &One : Faults)
    for (uint64_t Seed = 1; Seed <= 10; ++Seed) {
      const Tally Sum = strike(Seed, One, Faults[1], true);
      cr_expect_eq(Sum.AnsweredTwice + Sum.Unanswered + Sum.RanAlthoughNotRun,
                   0, "%s, seed %zu", One.Name, Seed);
    }
}

Test(call_faults, a_drain_alone_fails_no_call) {
  CallSimulation World(
      {.Slots = 3, .QueueLimit = 5, .ServiceTime = milliseconds(20)});
  int Bad = 0;
  const TimePoint Start = World.now();
  for (int Index = 0; Index < Calls; ++Index)
    World.call(Start + milliseconds(Index * 5), "c" + std::to_string(Index),
               [&Bad](const SimulatedCallResult &End) {
                 Bad += End.Succeeded ? 0 : 1;
               });
  World.schedule(Start + milliseconds(500),
                 [&World] { World.setDraining(0, 1, true); });
  World.run();
  cr_expect_eq(Bad, 0);
}
