#include "admission.h"

#include <algorithm>
#include <limits>

namespace bluebellbarrow {

namespace {

/** Longer than the longest deadline that the settings tree permits. */
constexpr Duration SeenRetention = seconds(90);

/** Minimum remaining time of a running request, as a share of the mean. */
constexpr double MinRemainingShare = 0.2;

/** Largest wait that a load report can hold, in microseconds. */
constexpr int64_t MaxReportedMicros = std::numeric_limits<uint32_t>::max();

/** Time between two checks of the late requests in the queue. */
constexpr Duration LateCheckInterval = milliseconds(20);

/** Minimum share of the slots that the estimate assumes for a priority. */
constexpr double MinSlotShare = 0.05;

TimeLeft timeLeft(const QueuedRequest &Request, TimePoint Now) {
  return {.ToSoftDeadline = Request.SoftDeadline - Now,
          .ToDeadline = Request.Deadline - Now};
}

} // namespace

Admission::Admission(AdmissionLimits Limits, AdmissionOptions Options,
                     TimePoint Now)
    : Limits(Limits), Options(Options), Seen(SeenRetention), ColdStart(Now),
      Capacity(std::max<size_t>(1, Limits.Slots), Now),
      CurrentCapacity(Limits.Slots) {
  this->ColdStart.setLimits(Limits.Cold);
}

void Admission::updateCapacity(TimePoint Now) {
  this->CurrentCapacity = this->Limits.Slots;
  if (this->Limits.MeasuresCapacity)
    this->CurrentCapacity =
        std::min(this->CurrentCapacity, this->Capacity.limit(Now));
}

void Admission::measureCapacity(const RunningRequest &Finished, TimePoint Now) {
  const std::optional<Duration> Mean = this->ServiceTimes.mean(Finished.Route);
  if (!this->Limits.MeasuresCapacity || !Mean || *Mean <= Duration::zero())
    return;
  const double Concurrency =
      static_cast<double>(Finished.RunningAtStart + this->Running.size()) / 2;
  const Duration Took = Now - Finished.StartTime;
  this->Capacity.onFinished(Concurrency,
                            static_cast<double>(Took.count()) /
                                static_cast<double>(Mean->count()),
                            Now);
}

const char *Admission::closedReason() const {
  if (this->Draining)
    return "target is draining";
  return this->Evacuated ? "domain is evacuated" : nullptr;
}

bool Admission::mayStart(int64_t Priority, TimePoint Now) const {
  return !this->isClosed() && Now >= this->HoldDownUntil &&
         this->ColdStart.mayStart(Now) &&
         this->Running.size() +
                 this->Reservation.reservedForMoreUrgent(Priority, Now) <
             this->CurrentCapacity;
}

Duration Admission::timeToFreeSlot(const QueuedRequest &Request,
                                   TimePoint Now) const {
  if (this->Limits.Slots == 0)
    return Duration::max();
  std::vector<Duration> TimesToFree;
  for (const RunningRequest &Active : this->Running) {
    const Duration ServiceTime = Active.ServiceTime;
    const auto MinRemaining =
        std::chrono::duration_cast<Duration>(ServiceTime * MinRemainingShare);
    TimesToFree.push_back(std::max<Duration>(
        ServiceTime - (Now - Active.StartTime), MinRemaining));
  }
  while (TimesToFree.size() < this->CurrentCapacity)
    TimesToFree.push_back(Duration::zero());
  const std::vector<Duration> Ahead =
      this->Queue.serviceTimesAhead(Request, Now);
  for (const Duration ServiceTime : Ahead)
    *std::min_element(TimesToFree.begin(), TimesToFree.end()) += ServiceTime;
  const size_t Reserved =
      this->Reservation.reservedForMoreUrgent(Request.Priority, Now);
  const auto FirstUsable =
      TimesToFree.begin() +
      static_cast<ptrdiff_t>(std::min(Reserved, TimesToFree.size() - 1));
  std::nth_element(TimesToFree.begin(), FirstUsable, TimesToFree.end());
  return std::max(*FirstUsable, this->ColdStart.timeToStart(Ahead.size(), Now));
}

Duration Admission::expectedWait(const QueuedRequest &Request,
                                 TimePoint Now) const {
  const Duration TimeToSlot = this->timeToFreeSlot(Request, Now);
  const double ShareAhead =
      this->RecentLoad.loadAhead(Request.Priority, Request.isLate(Now), Now) /
      static_cast<double>(std::max<size_t>(1, this->CurrentCapacity));
  return std::chrono::duration_cast<Duration>(
      TimeToSlot / std::max(MinSlotShare, 1 - ShareAhead));
}

Duration Admission::waitForPriority(int64_t Priority, TimePoint Now) const {
  if (this->Queue.empty() && this->mayStart(Priority, Now))
    return Duration::zero();
  // Assumes a late request, which queues behind all of its priority.
  return this->expectedWait({.Priority = Priority,
                             .SoftDeadline = TimePoint::min(),
                             .Deadline = TimePoint::max()},
                            Now);
}

std::array<uint32_t, ReportedPriorities>
Admission::reportedWaits(TimePoint Now) const {
  std::array<uint32_t, ReportedPriorities> Waits{};
  for (size_t Priority = 0; Priority < Waits.size(); ++Priority) {
    const Duration Wait =
        this->waitForPriority(static_cast<int64_t>(Priority), Now);
    Waits[Priority] = static_cast<uint32_t>(
        std::min<int64_t>(toMicroseconds(Wait), MaxReportedMicros));
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

void Admission::recordDropped(const QueuedRequest &Request, const char *Reason,
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
  this->NextLateCheck = Now + LateCheckInterval;
  const std::vector<QueuedRequest> Late = this->Queue.lateRequests(Now);
  for (const QueuedRequest &Request : Late) {
    const Duration Wait = this->expectedWait(Request, Now);
    const Duration MaxWait =
        maxLateWait(Request.ServiceTime, timeLeft(Request, Now),
                    this->Options.QueuedLateWaitShare);
    if (Wait <= MaxWait)
      continue;
    this->Queue.remove(Request.Key);
    this->Reservation.onShed(Request.Priority, Now);
    this->recordDropped(Request, "would wait too long", Wait - MaxWait, Now);
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
  this->recordDropped(Last, "more urgent requests wait", Duration::zero(), Now);
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
  this->updateCapacity(Now);
  const std::optional<RequestState> Known = this->Seen.find(Key);
  if (Known == RequestState::NotRun)
    return {.Decision = AdmissionDecision::Refuse, .Reason = "cancelled"};
  if (Known)
    return {.Decision = AdmissionDecision::Refuse,
            .Reason = "seen",
            .Duplicate = true};
  if (const char *Reason = this->closedReason())
    return this->refuse(Key, Reason, Duration::zero(), Now);
  if (Now >= Request.Deadline)
    return this->refuse(Key, "deadline is over", Duration::zero(), Now);
  const Duration ServiceTime =
      this->ServiceTimes.estimate(Request.Route, Request.LatencyObjective).Mean;
  if (Now + ServiceTime > this->CompletionCutoff)
    return this->refuse(Key, "node stops", Duration::zero(), Now);
  this->Reservation.onArrival(Request.Priority, this->Limits.Slots, Now);
  QueuedRequest Queued{.Key = Key,
                       .Route = Request.Route,
                       .Priority = Request.Priority,
                       .SoftDeadline = Request.SoftDeadline,
                       .Deadline = Request.Deadline,
                       .ServiceTime = ServiceTime};
  if (this->mayStart(Request.Priority, Now) &&
      this->Queue.serviceTimesAhead(Queued, Now).empty()) {
    this->RecentLoad.add(Request.Priority, ServiceTime, Now);
    this->start(Key, Request.Route, ServiceTime, Now);
    return {.Decision = AdmissionDecision::Start, .Reason = {}};
  }
  AdmissionResult Result = this->decideQueueing(Queued, Now);
  if (Result.Decision != AdmissionDecision::Queue)
    return Result;
  if (!Queued.isLate(Now))
    this->RecentLoad.add(Request.Priority, ServiceTime, Now);
  this->Queue.add(std::move(Queued));
  this->Seen.set(Key, RequestState::Queued, Now);
  return Result;
}

void Admission::start(const RequestKey &Key, const RouteName &Route,
                      Duration ServiceTime, TimePoint Now) {
  this->Running.push_back({.Key = Key,
                           .Route = Route,
                           .ServiceTime = ServiceTime,
                           .StartTime = Now,
                           .RunningAtStart = this->Running.size() + 1});
  this->Seen.set(Key, RequestState::Running, Now);
  this->ColdStart.onStart(Now);
}

void Admission::onFinished(const RequestKey &Key, TimePoint Now) {
  const auto Found = std::find_if(
      this->Running.begin(), this->Running.end(),
      [&Key](const RunningRequest &Request) { return Request.Key == Key; });
  if (Found == this->Running.end())
    return;
  this->measureCapacity(*Found, Now);
  this->ServiceTimes.add(Found->Route, Now - Found->StartTime);
  this->Running.erase(Found);
  this->Seen.set(Key, RequestState::Finished, Now);
}

void Admission::onNotRun(const RequestKey &Key, TimePoint Now) {
  std::erase_if(this->Running, [&Key](const RunningRequest &Request) {
    return Request.Key == Key;
  });
  this->Seen.set(Key, RequestState::NotRun, Now);
}

std::vector<RequestKey> Admission::detectOverdue(TimePoint Now) {
  std::vector<RequestKey> OverdueKeys;
  for (RunningRequest &Request : this->Running) {
    const std::optional<Duration> UpperBound =
        this->ServiceTimes.upperBound(Request.Route);
    if (Request.Overdue || !UpperBound || Now - Request.StartTime < *UpperBound)
      continue;
    Request.Overdue = true;
    OverdueKeys.push_back(Request.Key);
  }
  return OverdueKeys;
}

std::vector<Dequeued> Admission::poll(TimePoint Now) {
  this->updateCapacity(Now);
  const char *Closed = this->closedReason();
  const std::vector<QueuedRequest> Removed =
      Closed != nullptr ? this->Queue.removeAll()
                        : this->Queue.removeExpired(Now);
  for (const QueuedRequest &Request : Removed) {
    if (Closed == nullptr)
      this->Reservation.onShed(Request.Priority, Now);
    this->recordDropped(Request,
                        Closed != nullptr ? Closed : "deadline is over",
                        Duration::zero(), Now);
  }
  this->dropLate(Now);
  std::vector<Dequeued> Results;
  Results.swap(this->Dropped);
  while (!this->Queue.empty() &&
         this->mayStart(this->Queue.first(Now).Priority, Now)) {
    const QueuedRequest Next = this->Queue.popFirst(Now);
    this->start(Next.Key, Next.Route, Next.ServiceTime, Now);
    Results.push_back({.Key = Next.Key, .Start = true, .Reason = {}});
  }
  return Results;
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
