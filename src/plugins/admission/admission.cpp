#include "admission.h"

#include <algorithm>
#include <limits>

namespace bluebellbarrow {

namespace {

/** Longer than the longest deadline that a tree may set. */
constexpr Duration SeenMemory = seconds(90);

/** Share of the usual time that a request is expected to run at least on. */
constexpr double LeastRemaining = 0.2;

/** Longest wait that a load report holds, in microseconds. */
constexpr int64_t LongestReported = std::numeric_limits<uint32_t>::max();

/** Time between two looks at requests that wait and are late. */
constexpr Duration LookInterval = milliseconds(20);

/** Least share of the slots that a forecast leaves to a rank. */
constexpr double LeastShare = 0.05;

TimeLeft timeLeft(const WaitingRequest &Of, TimePoint Now) {
  return {.Aim = Of.Aim - Now, .Deadline = Of.Deadline - Now};
}

} // namespace

Admission::Admission(AdmissionLimits Limits, AdmissionTuning Tuning)
    : Limits(Limits), Tuning(Tuning), Seen(SeenMemory) {}

bool Admission::mayStart(int64_t Priority, TimePoint Now) const {
  return !this->Draining && Now >= this->Hold &&
         this->Running.size() + this->Reserve.against(Priority, Now) <
             this->Limits.Slots;
}

Duration Admission::startOf(const WaitingRequest &Request,
                            TimePoint Now) const {
  if (this->Limits.Slots == 0)
    return Duration::max();
  std::vector<Duration> Free;
  for (const Started &Each : this->Running) {
    const Duration Usual = Each.Work;
    const auto Least =
        std::chrono::duration_cast<Duration>(Usual * LeastRemaining);
    Free.push_back(std::max<Duration>(Usual - (Now - Each.Time), Least));
  }
  while (Free.size() < this->Limits.Slots)
    Free.push_back(Duration::zero());
  for (const Duration Work : this->Line.workAhead(Request, Now))
    *std::min_element(Free.begin(), Free.end()) += Work;
  const size_t LeftFree = this->Reserve.against(Request.Priority, Now);
  const auto Start = Free.begin() + static_cast<ptrdiff_t>(
                                        std::min(LeftFree, Free.size() - 1));
  std::nth_element(Free.begin(), Start, Free.end());
  return *Start;
}

Duration Admission::expectedWait(const WaitingRequest &Request,
                                 TimePoint Now) const {
  const Duration Start = this->startOf(Request, Now);
  const double OvertakenShare =
      this->Overtaking.rateBefore(Request.Priority, Request.late(Now), Now) /
      static_cast<double>(std::max<size_t>(1, this->Limits.Slots));
  return std::chrono::duration_cast<Duration>(
      Start / std::max(LeastShare, 1 - OvertakenShare));
}

Duration Admission::waitOf(int64_t Priority, TimePoint Now) const {
  if (this->Line.empty() && this->mayStart(Priority, Now))
    return Duration::zero();
  // As if it were late already: it goes after all of its rank.
  return this->expectedWait({.Priority = Priority,
                             .Aim = TimePoint::min(),
                             .Deadline = TimePoint::max()},
                            Now);
}

std::array<uint32_t, ReportedRanks>
Admission::reportedWaits(TimePoint Now) const {
  std::array<uint32_t, ReportedRanks> Waits{};
  for (size_t Rank = 0; Rank < Waits.size(); ++Rank) {
    const Duration Wait = this->waitOf(static_cast<int64_t>(Rank), Now);
    Waits[Rank] = static_cast<uint32_t>(
        std::min<int64_t>(toMicroseconds(Wait), LongestReported));
  }
  return Waits;
}

AdmitResult Admission::refuse(const RequestKey &Key, const std::string &Reason,
                              Duration RetryAfter, TimePoint Now) {
  this->Seen.set(Key, SeenState::NotRun, Now);
  return {.What = Admitted::Refuse, .Reason = Reason, .RetryAfter = RetryAfter};
}

AdmitResult Admission::turnAway(const WaitingRequest &Request,
                                const std::string &Reason, Duration RetryAfter,
                                TimePoint Now) {
  this->Reserve.onTurnedAway(Request.Priority, Now);
  return this->refuse(Request.Key, Reason, RetryAfter, Now);
}

void Admission::giveUp(const WaitingRequest &Request, const char *Reason,
                       Duration RetryAfter, TimePoint Now) {
  this->Seen.set(Request.Key, SeenState::NotRun, Now);
  this->GivenUp.push_back({.Key = Request.Key,
                           .Start = false,
                           .Reason = Reason,
                           .RetryAfter = RetryAfter});
}

void Admission::giveUpLate(TimePoint Now) {
  if (Now < this->NextLook)
    return;
  this->NextLook = Now + LookInterval;
  const std::vector<WaitingRequest> Late = this->Line.late(Now);
  for (const WaitingRequest &Each : Late) {
    const Duration Wait = this->expectedWait(Each, Now);
    const Duration Longest = longestLateWait(Each.Work, timeLeft(Each, Now),
                                             this->Tuning.LateStayShare);
    if (Wait <= Longest)
      continue;
    this->Line.remove(Each.Key);
    this->Reserve.onTurnedAway(Each.Priority, Now);
    this->giveUp(Each, "would wait too long", Wait - Longest, Now);
  }
}

bool Admission::makeRoom(const WaitingRequest &Request, TimePoint Now) {
  if (this->Line.size() < this->Limits.Queue)
    return true;
  if (this->Line.empty())
    return false;
  const WaitingRequest Last = this->Line.last(Now);
  if (Last.Priority <= Request.Priority)
    return false;
  this->Line.remove(Last.Key);
  this->Reserve.onTurnedAway(Last.Priority, Now);
  this->giveUp(Last, "more urgent requests wait", Duration::zero(), Now);
  return true;
}

AdmitResult Admission::judgeWait(const WaitingRequest &Request, TimePoint Now) {
  const Duration Wait = this->expectedWait(Request, Now);
  const TimeLeft Left = timeLeft(Request, Now);
  const double Share = this->Tuning.LateWaitShare;
  if (!shouldWait(Wait, Request.Work, Left, Share))
    return this->turnAway(Request, "would wait too long",
                          Wait - longestLateWait(Request.Work, Left, Share),
                          Now);
  if (!this->makeRoom(Request, Now))
    return this->turnAway(Request, "queue is full", Wait, Now);
  return {.What = Admitted::Queue, .Reason = {}};
}

AdmitResult Admission::admit(const AdmissionRequest &Request, TimePoint Now) {
  const RequestKey &Key = Request.Key;
  this->Seen.expire(Now);
  const std::optional<SeenState> Known = this->Seen.find(Key);
  if (Known == SeenState::NotRun)
    return {.What = Admitted::Refuse, .Reason = "cancelled"};
  if (Known)
    return {.What = Admitted::Refuse, .Reason = "seen", .Duplicate = true};
  if (this->Draining)
    return this->refuse(Key, "target is draining", Duration::zero(), Now);
  if (Now >= Request.Deadline)
    return this->refuse(Key, "deadline is over", Duration::zero(), Now);
  const Duration Work = this->Works.of(Request.Route, Request.RouteAim).Mean;
  if (Now + Work > this->Closing)
    return this->refuse(Key, "node stops", Duration::zero(), Now);
  this->Reserve.onAsked(Request.Priority, this->Limits.Slots, Now);
  WaitingRequest Waiting{.Key = Key,
                         .Route = Request.Route,
                         .Priority = Request.Priority,
                         .Aim = Request.Aim,
                         .Deadline = Request.Deadline,
                         .Work = Work};
  if (this->mayStart(Request.Priority, Now) &&
      this->Line.workAhead(Waiting, Now).empty()) {
    this->Overtaking.add(Request.Priority, Work, Now);
    this->start(Key, Request.Route, Work, Now);
    return {.What = Admitted::Start, .Reason = {}};
  }
  AdmitResult Result = this->judgeWait(Waiting, Now);
  if (Result.What != Admitted::Queue)
    return Result;
  if (!Waiting.late(Now))
    this->Overtaking.add(Request.Priority, Work, Now);
  this->Line.add(std::move(Waiting));
  this->Seen.set(Key, SeenState::Queued, Now);
  return Result;
}

void Admission::start(const RequestKey &Key, const RouteName &Route,
                      Duration Expected, TimePoint Now) {
  this->Running.push_back(
      {.Key = Key, .Route = Route, .Work = Expected, .Time = Now});
  this->Seen.set(Key, SeenState::Running, Now);
}

void Admission::onFinished(const RequestKey &Key, TimePoint Now) {
  const auto Found =
      std::find_if(this->Running.begin(), this->Running.end(),
                   [&Key](const Started &Each) { return Each.Key == Key; });
  if (Found == this->Running.end())
    return;
  this->Works.add(Found->Route, Now - Found->Time);
  this->Running.erase(Found);
  this->Seen.set(Key, SeenState::Finished, Now);
}

void Admission::onNotRun(const RequestKey &Key, TimePoint Now) {
  std::erase_if(this->Running,
                [&Key](const Started &Each) { return Each.Key == Key; });
  this->Seen.set(Key, SeenState::NotRun, Now);
}

std::vector<RequestKey> Admission::takeOverdue(TimePoint Now) {
  std::vector<RequestKey> Taken;
  for (Started &Each : this->Running) {
    const std::optional<Duration> Longest = this->Works.longest(Each.Route);
    if (Each.Overdue || !Longest || Now - Each.Time < *Longest)
      continue;
    Each.Overdue = true;
    Taken.push_back(Each.Key);
  }
  return Taken;
}

std::vector<Dequeued> Admission::poll(TimePoint Now) {
  const std::vector<WaitingRequest> Hopeless =
      this->Draining ? this->Line.takeAll() : this->Line.takeHopeless(Now);
  for (const WaitingRequest &Each : Hopeless) {
    if (!this->Draining)
      this->Reserve.onTurnedAway(Each.Priority, Now);
    this->giveUp(Each,
                 this->Draining ? "target is draining" : "deadline is over",
                 Duration::zero(), Now);
  }
  this->giveUpLate(Now);
  std::vector<Dequeued> Left;
  Left.swap(this->GivenUp);
  while (!this->Line.empty() &&
         this->mayStart(this->Line.first(Now).Priority, Now)) {
    const WaitingRequest Next = this->Line.takeFirst(Now);
    this->start(Next.Key, Next.Route, Next.Work, Now);
    Left.push_back({.Key = Next.Key, .Start = true, .Reason = {}});
  }
  return Left;
}

CancelState Admission::cancel(const RequestKey &Key, TimePoint Now) {
  const std::optional<SeenState> Known = this->Seen.find(Key);
  if (Known == SeenState::Running)
    return CancelState::Running;
  if (Known == SeenState::Finished)
    return CancelState::Finished;
  this->Line.remove(Key);
  if (Known != SeenState::NotRun)
    this->Seen.set(Key, SeenState::NotRun, Now);
  return CancelState::NotRun;
}

} // namespace bluebellbarrow
