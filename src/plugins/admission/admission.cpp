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

TimeLeft timeLeft(const QueuedRequest &Of, TimePoint Now) {
  return {.ToSoftDeadline = Of.SoftDeadline - Now,
          .ToDeadline = Of.Deadline - Now};
}

} // namespace

Admission::Admission(AdmissionLimits Limits, AdmissionOptions Tuning)
    : Limits(Limits), Options(Tuning), Seen(SeenMemory) {}

bool Admission::mayStart(int64_t Priority, TimePoint Now) const {
  return !this->Draining && Now >= this->HoldUntil &&
         this->Running.size() +
                 this->Reservation.reservedForHigher(Priority, Now) <
             this->Limits.Slots;
}

Duration Admission::timeToFreeSlot(const QueuedRequest &Request,
                                   TimePoint Now) const {
  if (this->Limits.Slots == 0)
    return Duration::max();
  std::vector<Duration> Free;
  for (const RunningRequest &Each : this->Running) {
    const Duration Usual = Each.ServiceTime;
    const auto Least =
        std::chrono::duration_cast<Duration>(Usual * LeastRemaining);
    Free.push_back(std::max<Duration>(Usual - (Now - Each.StartTime), Least));
  }
  while (Free.size() < this->Limits.Slots)
    Free.push_back(Duration::zero());
  for (const Duration Work : this->Queue.serviceTimesAhead(Request, Now))
    *std::min_element(Free.begin(), Free.end()) += Work;
  const size_t LeftFree =
      this->Reservation.reservedForHigher(Request.Priority, Now);
  const auto Start = Free.begin() + static_cast<ptrdiff_t>(
                                        std::min(LeftFree, Free.size() - 1));
  std::nth_element(Free.begin(), Start, Free.end());
  return *Start;
}

Duration Admission::expectedWait(const QueuedRequest &Request,
                                 TimePoint Now) const {
  const Duration Start = this->timeToFreeSlot(Request, Now);
  const double OvertakenShare =
      this->RecentLoad.loadAhead(Request.Priority, Request.isLate(Now), Now) /
      static_cast<double>(std::max<size_t>(1, this->Limits.Slots));
  return std::chrono::duration_cast<Duration>(
      Start / std::max(LeastShare, 1 - OvertakenShare));
}

Duration Admission::waitForPriority(int64_t Priority, TimePoint Now) const {
  if (this->Queue.empty() && this->mayStart(Priority, Now))
    return Duration::zero();
  // As if it were late already: it goes after all of its rank.
  return this->expectedWait({.Priority = Priority,
                             .SoftDeadline = TimePoint::min(),
                             .Deadline = TimePoint::max()},
                            Now);
}

std::array<uint32_t, ReportedPriorities>
Admission::reportedWaits(TimePoint Now) const {
  std::array<uint32_t, ReportedPriorities> Waits{};
  for (size_t Rank = 0; Rank < Waits.size(); ++Rank) {
    const Duration Wait =
        this->waitForPriority(static_cast<int64_t>(Rank), Now);
    Waits[Rank] = static_cast<uint32_t>(
        std::min<int64_t>(toMicroseconds(Wait), LongestReported));
  }
  return Waits;
}

AdmissionResult Admission::refuse(const RequestKey &Key,
                                  const std::string &Reason,
                                  Duration RetryAfter, TimePoint Now) {
  this->Seen.set(Key, RequestState::NotRun, Now);
  return {.Decision = AdmissionDecision::Refuse,
          .Reason = Reason,
          .RetryAfter = RetryAfter};
}

AdmissionResult Admission::shed(const QueuedRequest &Request,
                                const std::string &Reason, Duration RetryAfter,
                                TimePoint Now) {
  this->Reservation.onShed(Request.Priority, Now);
  return this->refuse(Request.Key, Reason, RetryAfter, Now);
}

void Admission::dropQueued(const QueuedRequest &Request, const char *Reason,
                           Duration RetryAfter, TimePoint Now) {
  this->Seen.set(Request.Key, RequestState::NotRun, Now);
  this->Dropped.push_back({.Key = Request.Key,
                           .Start = false,
                           .Reason = Reason,
                           .RetryAfter = RetryAfter});
}

void Admission::dropLate(TimePoint Now) {
  if (Now < this->NextLateCheck)
    return;
  this->NextLateCheck = Now + LookInterval;
  const std::vector<QueuedRequest> Late = this->Queue.lateRequests(Now);
  for (const QueuedRequest &Each : Late) {
    const Duration Wait = this->expectedWait(Each, Now);
    const Duration Longest = maxLateWait(Each.ServiceTime, timeLeft(Each, Now),
                                         this->Options.QueuedLateWaitShare);
    if (Wait <= Longest)
      continue;
    this->Queue.remove(Each.Key);
    this->Reservation.onShed(Each.Priority, Now);
    this->dropQueued(Each, "would wait too long", Wait - Longest, Now);
  }
}

bool Admission::ensureQueueSpace(const QueuedRequest &Request, TimePoint Now) {
  if (this->Queue.size() < this->Limits.MaxQueued)
    return true;
  if (this->Queue.empty())
    return false;
  const QueuedRequest Last = this->Queue.last(Now);
  if (Last.Priority <= Request.Priority)
    return false;
  this->Queue.remove(Last.Key);
  this->Reservation.onShed(Last.Priority, Now);
  this->dropQueued(Last, "more urgent requests wait", Duration::zero(), Now);
  return true;
}

AdmissionResult Admission::decideQueueing(const QueuedRequest &Request,
                                          TimePoint Now) {
  const Duration Wait = this->expectedWait(Request, Now);
  const TimeLeft Left = timeLeft(Request, Now);
  const double Share = this->Options.LateWaitShare;
  if (!shouldWait(Wait, Request.ServiceTime, Left, Share))
    return this->shed(Request, "would wait too long",
                      Wait - maxLateWait(Request.ServiceTime, Left, Share),
                      Now);
  if (!this->ensureQueueSpace(Request, Now))
    return this->shed(Request, "queue is full", Wait, Now);
  return {.Decision = AdmissionDecision::Queue, .Reason = {}};
}

AdmissionResult Admission::admit(const AdmissionRequest &Request,
                                 TimePoint Now) {
  const RequestKey &Key = Request.Key;
  this->Seen.expire(Now);
  const std::optional<RequestState> Known = this->Seen.find(Key);
  if (Known == RequestState::NotRun)
    return {.Decision = AdmissionDecision::Refuse, .Reason = "cancelled"};
  if (Known)
    return {.Decision = AdmissionDecision::Refuse,
            .Reason = "seen",
            .Duplicate = true};
  if (this->Draining)
    return this->refuse(Key, "target is draining", Duration::zero(), Now);
  if (Now >= Request.Deadline)
    return this->refuse(Key, "deadline is over", Duration::zero(), Now);
  const Duration Work =
      this->ServiceTimes.estimate(Request.Route, Request.RouteLatencyObjective)
          .Mean;
  if (Now + Work > this->CompletionCutoff)
    return this->refuse(Key, "node stops", Duration::zero(), Now);
  this->Reservation.onArrival(Request.Priority, this->Limits.Slots, Now);
  QueuedRequest Waiting{.Key = Key,
                        .Route = Request.Route,
                        .Priority = Request.Priority,
                        .SoftDeadline = Request.SoftDeadline,
                        .Deadline = Request.Deadline,
                        .ServiceTime = Work};
  if (this->mayStart(Request.Priority, Now) &&
      this->Queue.serviceTimesAhead(Waiting, Now).empty()) {
    this->RecentLoad.add(Request.Priority, Work, Now);
    this->start(Key, Request.Route, Work, Now);
    return {.Decision = AdmissionDecision::Start, .Reason = {}};
  }
  AdmissionResult Result = this->decideQueueing(Waiting, Now);
  if (Result.Decision != AdmissionDecision::Queue)
    return Result;
  if (!Waiting.isLate(Now))
    this->RecentLoad.add(Request.Priority, Work, Now);
  this->Queue.add(std::move(Waiting));
  this->Seen.set(Key, RequestState::Queued, Now);
  return Result;
}

void Admission::start(const RequestKey &Key, const RouteName &Route,
                      Duration Expected, TimePoint Now) {
  this->Running.push_back(
      {.Key = Key, .Route = Route, .ServiceTime = Expected, .StartTime = Now});
  this->Seen.set(Key, RequestState::Running, Now);
}

void Admission::onFinished(const RequestKey &Key, TimePoint Now) {
  const auto Found = std::find_if(
      this->Running.begin(), this->Running.end(),
      [&Key](const RunningRequest &Each) { return Each.Key == Key; });
  if (Found == this->Running.end())
    return;
  this->ServiceTimes.add(Found->Route, Now - Found->StartTime);
  this->Running.erase(Found);
  this->Seen.set(Key, RequestState::Finished, Now);
}

void Admission::onNotRun(const RequestKey &Key, TimePoint Now) {
  std::erase_if(this->Running,
                [&Key](const RunningRequest &Each) { return Each.Key == Key; });
  this->Seen.set(Key, RequestState::NotRun, Now);
}

std::vector<RequestKey> Admission::detectOverdue(TimePoint Now) {
  std::vector<RequestKey> Taken;
  for (RunningRequest &Each : this->Running) {
    const std::optional<Duration> Longest =
        this->ServiceTimes.upperBound(Each.Route);
    if (Each.Overdue || !Longest || Now - Each.StartTime < *Longest)
      continue;
    Each.Overdue = true;
    Taken.push_back(Each.Key);
  }
  return Taken;
}

std::vector<Dequeued> Admission::poll(TimePoint Now) {
  const std::vector<QueuedRequest> Hopeless =
      this->Draining ? this->Queue.removeAll() : this->Queue.removeExpired(Now);
  for (const QueuedRequest &Each : Hopeless) {
    if (!this->Draining)
      this->Reservation.onShed(Each.Priority, Now);
    this->dropQueued(Each,
                     this->Draining ? "target is draining" : "deadline is over",
                     Duration::zero(), Now);
  }
  this->dropLate(Now);
  std::vector<Dequeued> Left;
  Left.swap(this->Dropped);
  while (!this->Queue.empty() &&
         this->mayStart(this->Queue.first(Now).Priority, Now)) {
    const QueuedRequest Next = this->Queue.popFirst(Now);
    this->start(Next.Key, Next.Route, Next.ServiceTime, Now);
    Left.push_back({.Key = Next.Key, .Start = true, .Reason = {}});
  }
  return Left;
}

CancelState Admission::cancel(const RequestKey &Key, TimePoint Now) {
  const std::optional<RequestState> Known = this->Seen.find(Key);
  if (Known == RequestState::Running)
    return CancelState::Running;
  if (Known == RequestState::Finished)
    return CancelState::Finished;
  this->Queue.remove(Key);
  if (Known != RequestState::NotRun)
    this->Seen.set(Key, RequestState::NotRun, Now);
  return CancelState::NotRun;
}

} // namespace bluebellbarrow
