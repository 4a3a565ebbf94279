#include "inboundcalls.h"

#include "kernel/hashing.h"
#include "kernel/log.h"
#include "kernel/task.h"
#include "plugins/metrics/metrics.h"

#include <algorithm>

namespace bluebellbarrow {

namespace {

constexpr size_t MaxSlots = 1000;

/** Largest body of an answer. */
constexpr size_t MaxAnswerBytes = size_t{64} * 1024 * 1024;

/** Bodies up to this size are taken however many bytes are held. */
constexpr size_t SmallBodyBytes = size_t{64} * 1024;

uint64_t fingerprint(const HttpRequest &Call) {
  return stableHash(Call.Method + "\n" + Call.RequestTarget + "\n" + Call.Body);
}

/** Returns the VM of this node that started its target last, or null. */
const Vm *findOwn(const ServiceEntry &Service, const VmName &Self) {
  const Vm *Last = nullptr;
  for (const Vm &Each : Service.Upstreams)
    if (Each.Name == Self &&
        (Last == nullptr ||
         Last->TargetStartUnixMillis < Each.TargetStartUnixMillis))
      Last = &Each;
  return Last;
}

/** Returns the name of the event that ends a request with \a Result. */
const char *endEvent(Outcome Result) {
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
                           const CallProtocol &Dialect, Metrics &Counters,
                           std::function<void()> OnFirst)
    : Owner(Owner), Self(Settings.Name), Service(Settings.Service),
      TargetEndpoint(Settings.TargetEndpoint), Protocol(Dialect),
      Codec(Dialect), NodeMetrics(Counters), OnFirstRequest(std::move(OnFirst)),
      AdmissionControl(AdmissionLimits()),
      IdempotencyKeys(IdempotencyCacheOptions()) {}

void InboundCalls::setSettings(const NodeSettings &New) {
  const bool Moved = New.TargetEndpoint != this->TargetEndpoint;
  this->Service = New.Service;
  this->TargetEndpoint = New.TargetEndpoint;
  if (Moved && this->TargetClient != nullptr) {
    for (size_t Slot = 0; Slot < this->TargetClient->slotCount(); ++Slot)
      this->TargetClient->cancel(Slot, "the target has moved");
    this->createTargetClient(this->TargetClient->slotCount());
  }
  if (this->CurrentSnapshot != nullptr)
    this->setSnapshot(this->CurrentSnapshot);
}

void InboundCalls::createTargetClient(size_t Slots) {
  const CallHeaderNames &Names = this->Protocol.headerNames();
  this->TargetClient = std::make_unique<HttpClient>(
      this->Owner,
      HttpClientOptions{.Name = "target",
                        .LocalIp = {},
                        .Remote = this->TargetEndpoint,
                        .SlotCount = Slots,
                        .MaxBodyBytes = MaxAnswerBytes,
                        .EchoedHeader =
                            Names.EchoesRequestId ? Names.RequestId : ""});
}

void InboundCalls::setSnapshot(std::shared_ptr<const Snapshot> New) {
  this->CurrentSnapshot = std::move(New);
  const ServiceEntry *Entry = this->CurrentSnapshot->findService(this->Service);
  if (Entry == nullptr)
    return;
  const Vm *Own = findOwn(*Entry, this->Self);
  if (Own != nullptr) {
    this->ListedTarget = Own->Target;
    this->ListedTargetStartUnixMillis = Own->TargetStartUnixMillis;
  }
  const Policy &Rules = Entry->EffectivePolicy;
  const int64_t Wanted =
      Own != nullptr && Own->Slots > 0 ? Own->Slots : Rules.Slots;
  const size_t Slots = std::min(static_cast<size_t>(Wanted), MaxSlots);
  this->AdmissionControl.setLimits(
      {.Slots = Slots, .MaxQueued = static_cast<size_t>(Rules.MaxQueueLength)});
  this->IdempotencyKeys.setOptions(
      {.Retention = Rules.IdempotencyKeyRetention});
  if (this->TargetClient == nullptr)
    this->createTargetClient(Slots);
  else
    this->TargetClient->setSlotCount(Slots);
}

void InboundCalls::setState(MemberState New) {
  this->State = New;
  this->AdmissionControl.setDraining(New != MemberState::Serving);
}

LoadReport InboundCalls::load() const {
  return {.SlotsUsed = static_cast<uint16_t>(this->AdmissionControl.running()),
          .Slots = static_cast<uint16_t>(this->AdmissionControl.limits().Slots),
          .Queued = static_cast<uint16_t>(this->AdmissionControl.queued()),
          .WaitMicros = this->AdmissionControl.reportedWaits(Task::now()),
          .State = this->State,
          .Target = this->ListedTarget};
}

bool InboundCalls::handleIdempotencyKey(const RequestKey &Key,
                                        const RequestMessage &Message,
                                        const InboundCallEvents &To,
                                        std::string &KeyName) {
  const std::string &KeyHeader = this->Protocol.headerNames().IdempotencyKey;
  if (KeyHeader.empty())
    return false;
  const std::string_view Given =
      headerValue(Message.Request.Headers, KeyHeader);
  if (Given.empty() || Message.Idempotent)
    return false;
  KeyName = IdempotencyCache::entryName(Message.Service, Message.Route,
                                        std::string(Given));
  ReplyMessage Answer{.Number = Message.Number, .Load = this->load()};
  switch (this->IdempotencyKeys.begin(KeyName, fingerprint(Message.Request),
                                      Key, Task::now())) {
  case IdempotencyDecision::Run:
    return false;
  case IdempotencyDecision::Join:
    this->JoinedRequests.emplace(Key, To);
    return true;
  case IdempotencyDecision::Replay:
    Answer = this->IdempotencyKeys.recordedReply(KeyName);
    Answer.Number = Message.Number;
    Answer.Load = this->load();
    break;
  case IdempotencyDecision::Mismatch:
    Answer.Result = Outcome::NotRun;
    Answer.Reason = "key was used for another request";
    Answer.NoRetry = true;
    break;
  case IdempotencyDecision::Full:
    Answer.Result = Outcome::NotRun;
    Answer.Reason = "too many keys to remember";
    Answer.NoRetry = true;
    break;
  }
  To.Reply(Answer);
  return true;
}

const char *InboundCalls::rejectionReason(const RequestMessage &Message) const {
  if (this->CurrentSnapshot == nullptr || this->TargetClient == nullptr)
    return "not ready";
  if (Message.Service != this->Service)
    return "another service runs here";
  if (this->exceedsBufferLimit(Message))
    return "the node holds too many bytes";
  return nullptr;
}

bool InboundCalls::exceedsBufferLimit(const RequestMessage &Message) const {
  const size_t Bytes = Message.Request.Body.size();
  return Bytes > SmallBodyBytes &&
         this->BufferedBytes + Bytes >
             static_cast<size_t>(
                 this->CurrentSnapshot->Limits.MaxBufferedBytes);
}

void InboundCalls::handleRequest(const RequestKey &Key,
                                 const RequestMessage &Message,
                                 InboundCallEvents To) {
  const TimePoint Now = Task::now();
  const TimePoint Deadline =
      Now + microseconds(static_cast<int64_t>(Message.RemainingMicros));
  const TimePoint Aim =
      Now +
      microseconds(static_cast<int64_t>(Message.SoftDeadlineRemainingMicros));
  if (this->Calls.contains(Key) || this->JoinedRequests.contains(Key))
    return;
  const char *NotReady = this->rejectionReason(Message);
  std::string KeyName;
  if (NotReady == nullptr &&
      this->handleIdempotencyKey(Key, Message, To, KeyName))
    return;
  if (this->Calls.empty())
    this->OnFirstRequest();
  this->BufferedBytes += Message.Request.Body.size();
  this->Calls[Key] = {.Message = Message,
                      .Deadline = Deadline,
                      .Events = std::move(To),
                      .IdempotencyEntryName = KeyName,
                      .ArrivedAt = Now};
  if (NotReady != nullptr) {
    this->refuse(Key, NotReady);
    return;
  }
  const AdmissionResult Result = this->AdmissionControl.admit(
      {.Key = Key,
       .Route = Message.Route,
       .Priority = Message.Priority,
       .SoftDeadline = Aim,
       .Deadline = Deadline,
       .RouteLatencyObjective =
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
  // Whoever knows the later start has the newer list.
  const bool SenderKnowsLater =
      !Message.ExpectedTarget.empty() &&
      Message.ExpectedTargetStartUnixMillis > this->ListedTargetStartUnixMillis;
  return SenderKnowsLater ? Message.ExpectedTarget : this->ListedTarget;
}

void InboundCalls::startAtTarget(const RequestKey &Key) {
  const TimePoint Now = Task::now();
  Call &Started = this->Calls.at(Key);
  if (this->TargetClient->busySlots() >= this->TargetClient->slotCount()) {
    this->AdmissionControl.onNotRun(Key, Now);
    this->refuse(Key, "no connection slot");
    return;
  }
  this->NodeMetrics.observe(Metric::WaitTime, "", Now - Started.ArrivedAt);
  Started.Running = true;
  Started.StartedAt = Now;
  const Duration Left = Started.Deadline - Now;
  Started.Slot = this->TargetClient->call(
      this->Codec.toHttpRequest(Started.Message,
                                this->expectedTarget(Started.Message), Left),
      Left, [this, Key](const CallResult &Result) {
        this->onTargetDone(Key, Result);
      });
}

void InboundCalls::onTargetDone(const RequestKey &Key,
                                const CallResult &Result) {
  const TimePoint Now = Task::now();
  ReplyMessage Message = this->Codec.toReplyMessage(Key.Number, Result);
  if (Message.Result == Outcome::NotRun) {
    this->AdmissionControl.onNotRun(Key, Now);
    this->NodeMetrics.add(Metric::Refused, Message.Reason);
  } else {
    this->AdmissionControl.onFinished(Key, Now);
  }
  const auto Found = this->Calls.find(Key);
  if (Found != this->Calls.end()) {
    const Duration Took = Now - Found->second.StartedAt;
    Message.ServiceTimeMicros = static_cast<uint32_t>(toMicroseconds(Took));
    const Duration Usual =
        this->AdmissionControl.meanServiceTime(Found->second.Message.Route)
            .value_or(Duration());
    Message.MeanServiceTimeMicros =
        static_cast<uint32_t>(toMicroseconds(Usual));
    this->NodeMetrics.observe(Metric::RunTime, endEvent(Message.Result), Took);
  }
  this->finishCall(Key, std::move(Message));
  this->processQueue(Now);
}

void InboundCalls::logCompletion(const RequestKey &Key, const Call &Of,
                                 const ReplyMessage &Message) const {
  const std::string &IdHeader = this->Protocol.headerNames().RequestId;
  const char *Event = endEvent(Message.Result);
  const std::initializer_list<LogField> Fields = {
      {"request", headerValue(Of.Message.Request.Headers, IdHeader)},
      {"origin", Key.Origin.str()},
      {"route", Of.Message.Route.str()},
      {"priority", Of.Message.Priority},
      {"target", this->ListedTarget.str()},
      {"reason", Message.Reason},
      {"status", Message.Response.Status},
      {"run_us", Message.ServiceTimeMicros},
      {"left_ms", toMilliseconds(Of.Deadline - Task::now())},
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
  Call Taken = std::move(Found->second);
  this->Calls.erase(Found);
  this->BufferedBytes -= Taken.Message.Request.Body.size();
  return Taken;
}

void InboundCalls::finishCall(const RequestKey &Key, ReplyMessage Message) {
  if (!this->Calls.contains(Key))
    return;
  const Call Ended = this->removeCall(Key);
  Message.Load = this->load();
  this->logCompletion(Key, Ended, Message);
  if (!Ended.IdempotencyEntryName.empty())
    for (const RequestKey &Other : this->IdempotencyKeys.finish(
             Ended.IdempotencyEntryName, Message, Task::now())) {
      const auto Waiting = this->JoinedRequests.find(Other);
      if (Waiting == this->JoinedRequests.end())
        continue;
      ReplyMessage Copy = Message;
      Copy.Number = Other.Number;
      Waiting->second.Reply(Copy);
      this->JoinedRequests.erase(Waiting);
    }
  if (Ended.Events.Reply)
    Ended.Events.Reply(Message);
}

CancelState InboundCalls::cancel(const RequestKey &Key, bool Stop,
                                 InboundCallEvents To) {
  const auto Waiting = this->JoinedRequests.find(Key);
  if (Waiting != this->JoinedRequests.end()) {
    Waiting->second = std::move(To);
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
  Found->second.Events = std::move(To);
  const bool Shared = !Found->second.IdempotencyEntryName.empty();
  if (Stop && Found->second.Running && !Shared)
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
  this->NodeMetrics.set(Metric::QueueLength, "",
                        static_cast<double>(this->AdmissionControl.queued()));
}

void InboundCalls::processQueue(TimePoint Now) {
  for (const Dequeued &Each : this->AdmissionControl.poll(Now)) {
    if (!this->Calls.contains(Each.Key))
      continue;
    if (Each.Start)
      this->startAtTarget(Each.Key);
    else
      this->refuse(Each.Key, Each.Reason, Each.RetryAfter);
  }
}

} // namespace bluebellbarrow
