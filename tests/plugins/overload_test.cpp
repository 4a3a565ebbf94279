#include "plugins/admission/admission.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <map>
#include <random>
#include <vector>

using namespace bluebellbarrow; // NOLINT: test

namespace {

/** Load of one route; arrivals are random. */
struct RequestClass {
  const char *Route;
  int Priority;
  double PerSecond;
  Duration ServiceTime;
  Duration LatencyObjective;
  Duration Deadline;
};

/** Outcomes of the requests of one route. */
struct RouteStats {
  int Arrivals = 0;

  /** Requests answered within the latency objective. */
  int OnTime = 0;

  /** Requests answered within the deadline. */
  int Served = 0;

  /** Requests dropped from the queue. */
  int Dropped = 0;

  /** Total time that the dropped requests were queued. */
  Duration TotalDroppedWait{};

  double onTimeRatio() const {
    return static_cast<double>(this->OnTime) / this->Arrivals;
  }

  double servedRatio() const {
    return static_cast<double>(this->Served) / this->Arrivals;
  }
};

/** One request of the load. */
struct SimulatedRequest {
  const RequestClass *Class;
  TimePoint Arrival;
  Duration ServiceTime;

  /** Completion time, once it has started. */
  TimePoint End = TimePoint::max();
};

/** A target behind an Admission, in virtual time. */
class Simulation {
public:
  Simulation(size_t Slots, size_t Queue)
      : Controller({.Slots = Slots, .MaxQueued = Queue}) {}

  /** Replays the load and returns the statistics of each route. */
  std::map<std::string, RouteStats> replay(std::vector<SimulatedRequest> Load) {
    this->Requests = std::move(Load);
    TimePoint Now = this->Requests.front().Arrival;
    size_t Next = 0;
    while (Next < this->Requests.size() || !this->Running.empty()) {
      const TimePoint Arrival = Next < this->Requests.size()
                                    ? this->Requests[Next].Arrival
                                    : TimePoint::max();
      const TimePoint End = this->nextEnd();
      Now = std::min(Arrival, End);
      if (End <= Arrival)
        this->finish(Now);
      else
        this->arrive(Next++, Now);
      this->poll(Now);
    }
    return this->StatsByRoute;
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
      First = std::min(First, this->Requests[Index].End);
    return First;
  }

  void start(size_t Index, TimePoint Now) {
    this->Requests[Index].End = Now + this->Requests[Index].ServiceTime;
    this->Running.push_back(Index);
  }

  void arrive(size_t Index, TimePoint Now) {
    const SimulatedRequest &Request = this->Requests[Index];
    this->StatsByRoute[Request.Class->Route].Arrivals += 1;
    const AdmissionResult Result = this->Controller.admit(
        {.Key = key(Index),
         .Route = RouteName(Request.Class->Route),
         .Priority = Request.Class->Priority,
         .SoftDeadline = Now + Request.Class->LatencyObjective,
         .Deadline = Now + Request.Class->Deadline,
         .LatencyObjective = Request.Class->LatencyObjective},
        Now);
    if (Result.Decision == AdmissionDecision::Start)
      this->start(Index, Now);
  }

  void poll(TimePoint Now) {
    for (const Dequeued &Entry : this->Controller.poll(Now)) {
      const size_t Index = Entry.Key.Number.value() - 1;
      if (Entry.Start) {
        this->start(Index, Now);
        continue;
      }
      RouteStats &Stats =
          this->StatsByRoute[this->Requests[Index].Class->Route];
      Stats.Dropped += 1;
      Stats.TotalDroppedWait += Now - this->Requests[Index].Arrival;
    }
  }

  void finish(TimePoint Now) {
    const auto Found = std::find_if(
        this->Running.begin(), this->Running.end(),
        [&](size_t Index) { return this->Requests[Index].End <= Now; });
    const SimulatedRequest &Finished = this->Requests[*Found];
    RouteStats &Stats = this->StatsByRoute[Finished.Class->Route];
    const Duration ResponseTime = Now - Finished.Arrival;
    Stats.Served += ResponseTime <= Finished.Class->Deadline ? 1 : 0;
    Stats.OnTime += ResponseTime <= Finished.Class->LatencyObjective ? 1 : 0;
    this->Controller.onFinished(key(*Found), Now);
    this->Running.erase(Found);
  }

  Admission Controller;
  std::vector<SimulatedRequest> Requests;
  std::vector<size_t> Running;
  std::map<std::string, RouteStats> StatsByRoute;
};

/** Returns the requests of \a Classes for \a Length, by arrival time. */
std::vector<SimulatedRequest>
generateLoad(const std::vector<RequestClass> &Classes, Duration Length) {
  std::mt19937_64 Random(7);
  std::vector<SimulatedRequest> Load;
  for (const RequestClass &Class : Classes) {
    std::exponential_distribution<double> Interarrival(Class.PerSecond);
    std::lognormal_distribution<double> ServiceTimeFactor(-0.125, 0.5);
    TimePoint Arrival = TimePoint(seconds(1000));
    const TimePoint End = Arrival + Length;
    while (true) {
      Arrival += std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(Interarrival(Random)));
      if (Arrival >= End)
        break;
      Load.push_back({.Class = &Class,
                      .Arrival = Arrival,
                      .ServiceTime = std::chrono::duration_cast<Duration>(
                          Class.ServiceTime * ServiceTimeFactor(Random))});
    }
  }
  std::sort(Load.begin(), Load.end(),
            [](const SimulatedRequest &A, const SimulatedRequest &B) {
              return A.Arrival < B.Arrival;
            });
  return Load;
}

/** Short urgent requests, short calls of targets, and long reads. */
const std::vector<RequestClass> MixedClasses = {
    {"close", 0, 33, milliseconds(63), milliseconds(200), milliseconds(1200)},
    {"verify", 1, 150, milliseconds(22), milliseconds(100), milliseconds(250)},
    {"history", 2, 24, milliseconds(360), milliseconds(1000), seconds(3)}};

} // namespace

// Load for 14 slots on a target with 9: the configured priorities decide what
// is refused, and no class starves.
Test(overload, urgent_and_short_requests_are_served_beside_long_ones) {
  const auto StatsByRoute =
      Simulation(9, 64).replay(generateLoad(MixedClasses, seconds(60)));
  const RouteStats &Close = StatsByRoute.at("close");
  const RouteStats &Verify = StatsByRoute.at("verify");
  const RouteStats &History = StatsByRoute.at("history");
  cr_expect_gt(Close.onTimeRatio(), 0.9, "close on time: %.3f",
               Close.onTimeRatio());
  cr_expect_gt(Verify.servedRatio(), 0.85, "verify served: %.3f",
               Verify.servedRatio());
  // At least a quarter of the long requests is served, so they do not starve.
  cr_expect_gt(History.servedRatio(), 0.25, "history served: %.3f",
               History.servedRatio());
}

// A third more load of one priority than the slots can serve, with long
// deadlines. Late requests start last and no slot becomes free for them, so
// they must be dropped early instead of being queued until their deadline.
Test(overload, late_requests_are_dropped_before_their_deadline) {
  const std::vector<RequestClass> Classes = {
      {"check", 2, 80, milliseconds(150), milliseconds(400), seconds(4)}};
  const auto StatsByRoute =
      Simulation(9, 64).replay(generateLoad(Classes, seconds(60)));
  const RouteStats &Check = StatsByRoute.at("check");
  cr_assert_gt(Check.Dropped, 0);
  const double MeanWait =
      std::chrono::duration<double>(Check.TotalDroppedWait).count() /
      Check.Dropped;
  cr_expect_lt(MeanWait, 2.0, "dropped after %.2f s on average", MeanWait);
  cr_expect_gt(Check.onTimeRatio(), 0.55, "check on time: %.3f",
               Check.onTimeRatio());
}

// An urgent request that arrives at a queue full of less urgent ones replaces
// the last of these.
Test(overload, full_queue_drops_its_last_request_for_a_more_urgent_one) {
  Admission Controller({.Slots = 1, .MaxQueued = 2});
  const TimePoint Now = TimePoint(seconds(1000));
  const auto Admit = [&](uint64_t Number, int Priority) {
    return Controller.admit({.Key = {.Origin = VmName("a"),
                                     .OriginIncarnation = IncarnationId(1),
                                     .Number = RequestNumber(Number)},
                             .Route = RouteName("r"),
                             .Priority = Priority,
                             .SoftDeadline = Now + seconds(5),
                             .Deadline = Now + seconds(9),
                             .LatencyObjective = milliseconds(100)},
                            Now);
  };
  cr_expect_eq(Admit(1, 1).Decision, AdmissionDecision::Start);
  cr_expect_eq(Admit(2, 1).Decision, AdmissionDecision::Queue);
  cr_expect_eq(Admit(3, 2).Decision, AdmissionDecision::Queue);
  cr_expect_eq(Admit(4, 2).Decision, AdmissionDecision::Refuse);
  cr_expect_eq(Admit(5, 0).Decision, AdmissionDecision::Queue);
  const std::vector<Dequeued> Removed = Controller.poll(Now);
  cr_assert_eq(Removed.size(), 1);
  cr_expect_eq(Removed[0].Key.Number, RequestNumber(3));
  cr_expect_not(Removed[0].Start);
  cr_expect_eq(Controller.queued(), 2);
}
