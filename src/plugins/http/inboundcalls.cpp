#include "inboundcalls.h"

#include "kernel/log.h"
#include "kernel/task.h"
#include "plugins/metrics/metrics.h"

#include <algorithm>

namespace bluebellbarrow {

namespace {

constexpr size_t MaxSlots = 1000;

constexpr double MillisPerSecond = 1000;

/** Largest body of a target's response. */
constexpr size_t MaxResponseBytes = size_t{64} * 1024 * 1024;

/** Returns this node's entry whose target started last; null without one. */
const Vm *findLocalVm(const ServiceEntry &Service, const VmName &Self) {
  const Vm *Last = nullptr;
  for (const Vm &Upstream : Service.Upstreams)
    if (Upstream.Name == Self &&
        (Last == nullptr ||
         Last->TargetStartUnixMillis < Upstream.TargetStartUnixMillis))
      Last = &Upstream;
  return Last;
}

/** Returns the log event and metric label for \a Result. */
const char *outcomeEvent(Outcome Result) {
  switch (Result) {
  case Outcome::Answered:
    return "target answered";
  case Outcome::NotRun:
    return "request refused at target's node";
  case Outcome::Unknown:
    return "target failed";
  }
  return "unknown";
}

} // namespace

InboundCalls::InboundCalls(Task &Owner, const NodeSettings &Settings,
                           const CallProtocol &Protocol, LinkScheduler &Link,
                           ByteBudget &Budget, Metrics &NodeMetrics,
                           std::function<void()> OnFirstRequest)
    : Owner(Owner), Self(Settings.Name), Domain(Settings.Domain),
      Service(Settings.Service), TargetEndpoint(Settings.TargetEndpoint),
      HealthPath(Settings.HealthPath), Protocol(Protocol), Codec(Protocol),
      Link(Link), Budget(Budget), NodeMetrics(NodeMetrics),
      OnFirstRequest(std::move(OnFirstRequest)),
      AdmissionControl(AdmissionLimits(), AdmissionOptions(), Task::now()),
      Warmth(Owner, Protocol, this->AdmissionControl.coldStart(), NodeMetrics),
      IdempotencyKeys(IdempotencyCacheOptions()) {}

void InboundCalls::setSettings(const NodeSettings &New) {
  const bool EndpointChanged = New.TargetEndpoint != this->TargetEndpoint;
  this->Service = New.Service;
  this->TargetEndpoint = New.TargetEndpoint;
  if (EndpointChanged && this->TargetClient != nullptr) {
    // Each cancelled call lets a queued one start, which goes to the new
    // endpoint.
    const std::unique_ptr<HttpClient> Previous = std::move(this->TargetClient);
    this->createTargetClient(Previous->slotCount());
    for (size_t Slot = 0; Slot < Previous->slotCount(); ++Slot)
      Previous->cancel(Slot, "the target has moved");
  }
  if (this->CurrentSnapshot != nullptr)
    this->setSnapshot(this->CurrentSnapshot);
}

void InboundCalls::createTargetClient(size_t SlotCount) {
  const CallHeaderNames &Names = this->Protocol.headerNames();
  this->TargetClient = std::make_unique<HttpClient>(
      this->Owner,
      HttpClientOptions{.Name = "target",
                        .LocalIp = {},
                        .Remote = this->TargetEndpoint,
                        .SlotCount = SlotCount,
                        .MaxBodyBytes = MaxResponseBytes,
                        .Budget = &this->Budget,
                        .EchoedHeader =
                            Names.EchoesRequestId ? Names.RequestId : ""});
}

void InboundCalls::setSnapshot(std::shared_ptr<const Snapshot> New) {
  this->CurrentSnapshot = std::move(New);
  const ServiceEntry *Entry = this->CurrentSnapshot->findService(this->Service);
  if (Entry == nullptr)
    return;
  const Vm *LocalVm = findLocalVm(*Entry, this->Self);
  if (LocalVm != nullptr) {
    if (LocalVm->TargetStartUnixMillis != this->ListedTargetStartUnixMillis) {
      this->AdmissionControl.coldStart().onTargetChanged(Task::now());
      this->AdmissionControl.onTargetRestarted();
    }
    this->ListedTarget = LocalVm->Target;
    this->ListedTargetStartUnixMillis = LocalVm->TargetStartUnixMillis;
  }
  const Policy &RoutePolicy = Entry->EffectivePolicy;
  const AdmissionLimits Limits = this->admissionLimits(RoutePolicy, LocalVm);
  const size_t Slots = Limits.Slots;
  this->AdmissionControl.setLimits(Limits);
  this->setEvacuated(this->CurrentSnapshot->isEvacuated(this->Domain));
  this->Warmth.setTarget(this->TargetEndpoint, RoutePolicy.ProbePath.empty()
                                                   ? this->HealthPath
                                                   : RoutePolicy.ProbePath);
  this->IdempotencyKeys.setOptions(
      {.Retention = RoutePolicy.IdempotencyKeyRetention});
  if (this->TargetClient == nullptr)
    this->createTargetClient(Slots);
  else
    this->TargetClient->setSlotCount(Slots);
}

AdmissionLimits InboundCalls::admissionLimits(const Policy &RoutePolicy,
                                              const Vm *LocalVm) const {
  const int64_t Slots = LocalVm != nullptr && LocalVm->Slots > 0
                            ? LocalVm->Slots
                            : RoutePolicy.Slots;
  return {.Slots = std::min(static_cast<size_t>(Slots), MaxSlots),
          .MaxQueued = static_cast<size_t>(RoutePolicy.MaxQueueLength),
          .MeasuresCapacity = RoutePolicy.MeasuresCapacity,
          .Cold = {.Rate = RoutePolicy.ColdRate,
                   .Overshoot = RoutePolicy.ColdOvershoot,
                   .Slack = RoutePolicy.ColdSlack}};
}

void InboundCalls::setEvacuated(bool On) {
  if (On == this->Evacuated)
    return;
  this->Evacuated = On;
  this->AdmissionControl.setEvacuated(On);
  this->AdmissionControl.coldStart().onTargetChanged(Task::now());
  this->processQueue(Task::now());
}

void InboundCalls::setState(MemberState New) {
  this->State = New;
  this->AdmissionControl.setDraining(New != MemberState::Serving);
}

LoadReport InboundCalls::load() const {
  return {
      .SlotsUsed = static_cast<uint16_t>(this->AdmissionControl.running()),
      .Slots = static_cast<uint16_t>(this->AdmissionControl.capacity()),
      .Queued = static_cast<uint16_t>(this->AdmissionControl.queued()),
      .ExpectedWaitMicros = this->AdmissionControl.reportedWaits(Task::now()),
      .LinkWaitMicros =
          static_cast<uint32_t>(toMicroseconds(this->Link.timeToClear())),
      .LinkBytesPerMilli =
          static_cast<uint32_t>(this->Link.bytesPerSecond() / MillisPerSecond),
      .State = this->Evacuated ? MemberState::Draining : this->State,
      .Target = this->ListedTarget};
}

size_t InboundCalls::heldBytes() const {
  return this->BufferedBytes + (this->TargetClient == nullptr
                                    ? 0
                                    : this->TargetClient->bufferedBytes());
}

void InboundCalls::handleRequest(const RequestKey &Key,
                                 const RequestMessage &Message,
                                 InboundCallEvents Events) {
  const TimePoint Now = Task::now();
  const TimePoint Deadline =
      Now + microseconds(static_cast<int64_t>(Message.RemainingMicros));
  const TimePoint SoftDeadline =
      Now +
      microseconds(static_cast<int64_t>(Message.SoftDeadlineRemainingMicros));
  if (this->Calls.contains(Key) || this->JoinedRequests.contains(Key))
    return;
  const char *Rejection = this->rejectionReason(Key, Message);
  std::string EntryName;
  if (Rejection == nullptr &&
      this->handleIdempotencyKey(Key, Message, Events, EntryName))
    return;
  if (this->Calls.empty())
    this->OnFirstRequest();
  this->BufferedBytes += Message.Request.Body.size();
  this->Calls[Key] = {.Message = Message,
                      .Deadline = Deadline,
                      .Events = std::move(Events),
                      .IdempotencyEntryName = EntryName,
                      .ArrivedAt = Now};
  if (Rejection != nullptr) {
    this->refuse(Key, Rejection);
    return;
  }
  Call &Arrived = this->Calls.at(Key);
  if (const auto RetryAfter = this->linkRetryAfter(Key, Arrived)) {
    this->refuse(Key, "the link is busy", *RetryAfter);
    return;
  }
  if (Key.Origin != this->Self)
    this->reserveLink(Arrived);
  const AdmissionResult Result = this->AdmissionControl.admit(
      {.Key = Key,
       .Route = Message.Route,
       .Priority = Message.Priority,
       .SoftDeadline = SoftDeadline,
       .Deadline = Deadline,
       .LatencyObjective =
           microseconds(static_cast<int64_t>(Message.LatencyObjectiveMicros))},
      Now);
  if (Result.Duplicate)
    this->removeCall(Key);
  else if (Result.Decision == AdmissionDecision::Start)
    this->startAtTarget(Key);
  else if (Result.Decision == AdmissionDecision::Refuse)
    this->refuse(Key, Result.Reason, Result.RetryAfter);
}

void InboundCalls::refuse(const RequestKey &Key, const std::string &Reason,
                          Duration RetryAfter) {
  this->NodeMetrics.add(Metric::Refused, Reason);
  this->finishCall(Key, {.Number = Key.Number,
                         .Result = Outcome::NotRun,
                         .Reason = Reason,
                         .RetryAfterMicros = static_cast<uint32_t>(
                             toMicroseconds(RetryAfter))});
}

const TargetInstanceId &
InboundCalls::expectedTarget(const RequestMessage &Message) const {
  // The sender's VM list is newer when the target in it started later.
  const bool SenderIsNewer =
      !Message.ExpectedTarget.empty() &&
      Message.ExpectedTargetStartUnixMillis > this->ListedTargetStartUnixMillis;
  return SenderIsNewer ? Message.ExpectedTarget : this->ListedTarget;
}

void InboundCalls::startAtTarget(const RequestKey &Key) {
  const TimePoint Now = Task::now();
  Call &Admitted = this->Calls.at(Key);
  if (this->TargetClient->busySlots() >= this->TargetClient->slotCount()) {
    this->AdmissionControl.onNotRun(Key, Now);
    this->refuse(Key, "no connection slot");
    return;
  }
  this->pollWarmth(Now);
  this->NodeMetrics.observe(Metric::QueueTime, "", Now - Admitted.ArrivedAt);
  Admitted.Running = true;
  Admitted.StartedAt = Now;
  const Duration Remaining = Admitted.Deadline - Now;
  Admitted.Slot = this->TargetClient->call(
      this->Codec.toHttpRequest(
          Admitted.Message, this->expectedTarget(Admitted.Message), Remaining),
      Remaining, [this, Key](CallResult Result) {
        this->onTargetDone(Key, std::move(Result));
      });
}

void InboundCalls::onTargetDone(const RequestKey &Key, CallResult Result) {
  const TimePoint Now = Task::now();
  // The next one to answer may be another process.
  if (Result.ConnectionLost)
    this->AdmissionControl.coldStart().onTargetChanged(Now);
  ReplyMessage Message =
      this->Codec.toReplyMessage(Key.Number, std::move(Result));
  if (Message.Result == Outcome::NotRun) {
    this->AdmissionControl.onNotRun(Key, Now);
    this->NodeMetrics.add(Metric::Refused, Message.Reason);
  } else {
    this->AdmissionControl.onFinished(Key, Now);
  }
  const auto Found = this->Calls.find(Key);
  if (Found != this->Calls.end()) {
    if (Message.Result == Outcome::Answered)
      this->Sizes.add(Found->second.Message.Route,
                      Message.Response.Body.size());
    const Duration ServiceTime = Now - Found->second.StartedAt;
    Message.ServiceTimeMicros =
        static_cast<uint32_t>(toMicroseconds(ServiceTime));
    const Duration MeanServiceTime =
        this->AdmissionControl.meanServiceTime(Found->second.Message.Route)
            .value_or(Duration());
    Message.MeanServiceTimeMicros =
        static_cast<uint32_t>(toMicroseconds(MeanServiceTime));
    this->NodeMetrics.observe(Metric::ServiceTime, outcomeEvent(Message.Result),
                              ServiceTime);
  }
  this->finishCall(Key, std::move(Message));
  this->processQueue(Now);
}

void InboundCalls::logCompletion(const RequestKey &Key, const Call &Completed,
                                 const ReplyMessage &Message) const {
  const std::string &IdHeader = this->Protocol.headerNames().RequestId;
  const char *Event = outcomeEvent(Message.Result);
  const std::initializer_list<LogField> Fields = {
      {"request", headerValue(Completed.Message.Request.Headers, IdHeader)},
      {"origin", Key.Origin.str()},
      {"route", Completed.Message.Route.str()},
      {"priority", Completed.Message.Priority},
      {"target", this->ListedTarget.str()},
      {"reason", Message.Reason},
      {"status", Message.Response.Status},
      {"run_us", Message.ServiceTimeMicros},
      {"left_ms", toMilliseconds(Completed.Deadline - Task::now())},
      {"running", this->AdmissionControl.running()},
      {"queued", this->AdmissionControl.queued()},
      {"retry_after_us", Message.RetryAfterMicros}};
  if (Message.Result == Outcome::Answered)
    logSampledEvent(Event, Fields);
  else
    logEvent(LogLevel::Info, Event, Fields);
}

InboundCalls::Call InboundCalls::removeCall(const RequestKey &Key) {
  const auto Found = this->Calls.find(Key);
  Call Removed = std::move(Found->second);
  this->Calls.erase(Found);
  this->BufferedBytes -= Removed.Message.Request.Body.size();
  this->Link.release(Removed.ReservedBytes);
  return Removed;
}

void InboundCalls::finishCall(const RequestKey &Key, ReplyMessage Message) {
  if (!this->Calls.contains(Key))
    return;
  const Call Completed = this->removeCall(Key);
  Message.Load = this->load();
  this->logCompletion(Key, Completed, Message);
  if (!Completed.IdempotencyEntryName.empty())
    for (const RequestKey &JoinedKey : this->IdempotencyKeys.finish(
             Completed.IdempotencyEntryName, Message, Task::now())) {
      const auto Joined = this->JoinedRequests.find(JoinedKey);
      if (Joined == this->JoinedRequests.end())
        continue;
      ReplyMessage Copy = Message;
      Copy.Number = JoinedKey.Number;
      Joined->second.Reply(Copy);
      this->JoinedRequests.erase(Joined);
    }
  if (Completed.Events.Reply)
    Completed.Events.Reply(std::move(Message));
}

CancelState InboundCalls::cancel(const RequestKey &Key, bool Stop,
                                 InboundCallEvents Events) {
  const auto Joined = this->JoinedRequests.find(Key);
  if (Joined != this->JoinedRequests.end()) {
    Joined->second = std::move(Events);
    return CancelState::Running;
  }
  const CancelState State = this->AdmissionControl.cancel(Key, Task::now());
  const auto Found = this->Calls.find(Key);
  if (Found == this->Calls.end())
    return State;
  if (State == CancelState::NotRun) {
    Found->second.Events = InboundCallEvents();
    this->refuse(Key, "cancelled");
    return State;
  }
  Found->second.Events = std::move(Events);
  const bool HasIdempotencyKey = !Found->second.IdempotencyEntryName.empty();
  if (Stop && Found->second.Running && !HasIdempotencyKey)
    this->TargetClient->cancel(Found->second.Slot, "cancelled by the caller");
  return State;
}

void InboundCalls::poll(TimePoint Now) {
  this->processQueue(Now);
  for (const RequestKey &Key : this->AdmissionControl.detectOverdue(Now)) {
    const auto Found = this->Calls.find(Key);
    if (Found != this->Calls.end() && Found->second.Events.Overdue)
      Found->second.Events.Overdue();
  }
  this->NodeMetrics.set(Metric::SlotsUsed, "",
                        static_cast<double>(this->AdmissionControl.running()));
  this->NodeMetrics.set(Metric::TargetCapacity, "",
                        static_cast<double>(this->AdmissionControl.capacity()));
  this->NodeMetrics.set(Metric::QueueLength, "",
                        static_cast<double>(this->AdmissionControl.queued()));
}

void InboundCalls::pollWarmth(TimePoint Now) {
  if (this->TargetClient != nullptr && !this->AdmissionControl.isClosed())
    this->Warmth.poll(Now);
}

void InboundCalls::processQueue(TimePoint Now) {
  for (const Dequeued &Request : this->AdmissionControl.poll(Now)) {
    if (!this->Calls.contains(Request.Key))
      continue;
    if (Request.Start)
      this->startAtTarget(Request.Key);
    else
      this->refuse(Request.Key, Request.Reason, Request.RetryAfter);
  }
}

} // namespace bluebellbarrow
