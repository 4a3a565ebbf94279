#include "plugins/admission/admission.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <random>
#include <vector>

using namespace bluebellbarrow; // NOLINT: test

namespace {

/** Requests of one route that come at random times. */
struct Kind {
  const char *Route;
  int Priority;
  double PerSecond;
  Duration Work;
  Duration Aim;
  Duration Deadline;
};

/** What became of the requests of one route. */
struct Tally {
  int Asked = 0;
  int InAim = 0;
  int Served = 0;

  /** Requests that waited and were given up, and the time they waited. */
  int GivenUp = 0;
  Duration Waited{};

  double inAim() const {
    return static_cast<double>(this->InAim) / this->Asked;
  }

  double served() const {
    return static_cast<double>(this->Served) / this->Asked;
  }
};

/** One request of the load, and when it ends once it runs. */
struct Job {
  const Kind *Of;
  TimePoint Arrival;
  Duration Work;
  TimePoint End = TimePoint::max();
};

/** A target in virtual time behind an Admission. */
class World {
public:
  World(size_t Slots, size_t Queue)
      : Gate({.Slots = Slots, .MaxQueued = Queue}) {}

  /** Replays the load and returns the tally of each route. */
  std::map<std::string, Tally> replay(std::vector<Job> Load) {
    this->Jobs = std::move(Load);
    TimePoint Now = this->Jobs.front().Arrival;
    size_t Next = 0;
    while (Next < this->Jobs.size() || !this->Running.empty()) {
      const TimePoint Arrival = Next < this->Jobs.size()
                                    ? this->Jobs[Next].Arrival
                                    : TimePoint::max();
      const TimePoint End = this->nextEnd();
      Now = std::min(Arrival, End);
      if (End <= Arrival)
        this->finish(Now);
      else
        this->arrive(Next++, Now);
      this->poll(Now);
    }
    return this->Tallies;
  }

private:
  static RequestKey key(size_t Index) {
    return {.Origin = VmName("a"),
            .OriginIncarnation = IncarnationId(1),
            .Number = RequestNumber(Index + 1)};
  }

  TimePoint nextEnd() const {
    TimePoint First = TimePoint::max();
    for (const size_t Index : this->Running)
      First = std::min(First, this->Jobs[Index].End);
    return First;
  }

  void start(size_t Index, TimePoint Now) {
    this->Jobs[Index].End = Now + this->Jobs[Index].Work;
    this->Running.push_back(Index);
  }

  void arrive(size_t Index, TimePoint Now) {
    const Job &New = this->Jobs[Index];
    this->Tallies[New.Of->Route].Asked += 1;
    const AdmissionResult Result =
        this->Gate.admit({.Key = key(Index),
                          .Route = RouteName(New.Of->Route),
                          .Priority = New.Of->Priority,
                          .SoftDeadline = Now + New.Of->Aim,
                          .Deadline = Now + New.Of->Deadline,
                          .RouteLatencyObjective = New.Of->Aim},
                         Now);
    if (Result.Decision == AdmissionDecision::Start)
      this->start(Index, Now);
  }

  void poll(TimePoint Now) {
    for (const Dequeued &Each : this->Gate.poll(Now)) {
      const size_t Index = Each.Key.Number.value() - 1;
      if (Each.Start) {
        this->start(Index, Now);
        continue;
      }
      Tally &Of = this->Tallies[this->Jobs[Index].Of->Route];
      Of.GivenUp += 1;
      Of.Waited += Now - this->Jobs[Index].Arrival;
    }
  }

  void finish(TimePoint Now) {
    const auto Ended = std::find_if(
        this->Running.begin(), this->Running.end(),
        [&](size_t Index) { return this->Jobs[Index].End <= Now; });
    const Job &Done = this->Jobs[*Ended];
    Tally &Of = this->Tallies[Done.Of->Route];
    const Duration Took = Now - Done.Arrival;
    Of.Served += Took <= Done.Of->Deadline ? 1 : 0;
    Of.InAim += Took <= Done.Of->Aim ? 1 : 0;
    this->Gate.onFinished(key(*Ended), Now);
    this->Running.erase(Ended);
  }

  Admission Gate;
  std::vector<Job> Jobs;
  std::vector<size_t> Running;
  std::map<std::string, Tally> Tallies;
};

/** Returns a load of all \a Kinds for \a Length, in the order of arrival. */
std::vector<Job> loadOf(const std::vector<Kind> &Kinds, Duration Length) {
  std::mt19937_64 Random(7);
  std::vector<Job> Load;
  for (const Kind &Each : Kinds) {
    std::exponential_distribution<double> Gap(Each.PerSecond);
    std::lognormal_distribution<double> Spread(-0.125, 0.5);
    TimePoint At = TimePoint(seconds(1000));
    const TimePoint End = At + Length;
    while (true) {
      At += std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(Gap(Random)));
      if (At >= End)
        break;
      Load.push_back({.Of = &Each,
                      .Arrival = At,
                      .Work = std::chrono::duration_cast<Duration>(
                          Each.Work * Spread(Random))});
    }
  }
  std::sort(Load.begin(), Load.end(),
            [](const Job &A, const Job &B) { return A.Arrival < B.Arrival; });
  return Load;
}

/** Short urgent requests, short calls of targets, and long reads. */
const std::vector<Kind> MixedKinds = {
    {"close", 0, 33, milliseconds(63), milliseconds(200), milliseconds(1200)},
    {"verify", 1, 150, milliseconds(22), milliseconds(100), milliseconds(250)},
    {"history", 2, 24, milliseconds(360), milliseconds(1000), seconds(3)}};

} // namespace

// 14 slots of work for 9 slots: the operator's order decides what is refused.
Test(overload, urgent_and_short_requests_are_served_beside_long_ones) {
  const auto Tallies = World(9, 64).replay(loadOf(MixedKinds, seconds(60)));
  const Tally &Close = Tallies.at("close");
  const Tally &Verify = Tallies.at("verify");
  const Tally &History = Tallies.at("history");
  cr_expect_gt(Close.inAim(), 0.9, "close in its aim: %.3f", Close.inAim());
  cr_expect_gt(Verify.served(), 0.85, "verify served: %.3f", Verify.served());
  // A quarter as often as all requests at least: nothing starves.
  cr_expect_gt(History.served(), 0.25, "history served: %.3f",
               History.served());
}

// A third more of one rank than the slots can run, with long deadlines: those
// that have become late go last, and the load leaves nothing for them.
Test(overload, late_requests_are_refused_before_their_deadline) {
  const std::vector<Kind> Kinds = {
      {"check", 2, 80, milliseconds(150), milliseconds(400), seconds(4)}};
  const auto Tallies = World(9, 64).replay(loadOf(Kinds, seconds(60)));
  const Tally &Check = Tallies.at("check");
  cr_assert_gt(Check.GivenUp, 0);
  const double Waited =
      std::chrono::duration<double>(Check.Waited).count() / Check.GivenUp;
  cr_expect_lt(Waited, 2.0, "given up after %.2f s on average", Waited);
  cr_expect_gt(Check.inAim(), 0.55, "check in its aim: %.3f", Check.inAim());
}

// So many long requests wait that the queue is full.
Test(overload, a_full_queue_makes_room_for_what_is_more_urgent) {
  Admission Gate({.Slots = 1, .MaxQueued = 2});
  const TimePoint Now = TimePoint(seconds(1000));
  const auto Ask = [&](uint64_t Number, int Priority) {
    return Gate.admit({.Key = {.Origin = VmName("a"),
                               .OriginIncarnation = IncarnationId(1),
                               .Number = RequestNumber(Number)},
                       .Route = RouteName("r"),
                       .Priority = Priority,
                       .SoftDeadline = Now + seconds(5),
                       .Deadline = Now + seconds(9),
                       .RouteLatencyObjective = milliseconds(100)},
                      Now);
  };
  cr_expect_eq(Ask(1, 1).Decision, AdmissionDecision::Start);
  cr_expect_eq(Ask(2, 1).Decision, AdmissionDecision::Queue);
  cr_expect_eq(Ask(3, 2).Decision, AdmissionDecision::Queue);
  cr_expect_eq(Ask(4, 2).Decision, AdmissionDecision::Refuse);
  cr_expect_eq(Ask(5, 0).Decision, AdmissionDecision::Queue);
  const std::vector<Dequeued> Left = Gate.poll(Now);
  cr_assert_eq(Left.size(), 1);
  cr_expect_eq(Left[0].Key.Number, RequestNumber(3));
  cr_expect_not(Left[0].Start);
  cr_expect_eq(Gate.queued(), 2);
}
