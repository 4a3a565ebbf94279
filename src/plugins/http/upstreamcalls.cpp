#include "upstreamcalls.h"

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
  return stableHash(Call.Method + "\n" + Call.Target + "\n" + Call.Body);
}

/** Returns the VM of this node that started its target last, or null. */
const Vm *findOwn(const ServiceEntry &Service, const VmName &Self) {
  const Vm *Last = nullptr;
  for (const Vm &Each : Service.Upstreams)
    if (Each.Name == Self && (Last == nullptr || Last->Born < Each.Born))
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

UpstreamCalls::UpstreamCalls(Task &Owner, const NodeSettings &Settings,
                             const CallDialect &Dialect, Metrics &Counters,
                             std::function<void()> OnFirst)
    : Owner(Owner), Self(Settings.Name), Service(Settings.Service),
      Place(Settings.Target), Dialect(Dialect), Messages(Dialect),
      Counters(Counters), OnFirst(std::move(OnFirst)), Gate(AdmissionLimits()),
      Keys(KeyMemoryOptions()) {}

void UpstreamCalls::setSettings(const NodeSettings &New) {
  const bool Moved = New.Target != this->Place;
  this->Service = New.Service;
  this->Place = New.Target;
  if (Moved && this->Target != nullptr) {
    for (size_t Slot = 0; Slot < this->Target->slots(); ++Slot)
      this->Target->cancel(Slot, "the target has moved");
    this->connectTarget(this->Target->slots());
  }
  if (this->Current != nullptr)
    this->setSnapshot(this->Current);
}

void UpstreamCalls::connectTarget(size_t Slots) {
  const CallHeaderNames &Names = this->Dialect.names();
  this->Target = std::make_unique<HttpClient>(
      this->Owner,
      HttpClientOptions{.Name = "target",
                        .LocalIp = {},
                        .Remote = this->Place,
                        .Slots = Slots,
                        .MaxBodyBytes = MaxAnswerBytes,
                        .EchoedHeader = Names.IsEchoed ? Names.RequestId : ""});
}

void UpstreamCalls::setSnapshot(std::shared_ptr<const Snapshot> New) {
  this->Current = std::move(New);
  const ServiceEntry *Entry = this->Current->findService(this->Service);
  if (Entry == nullptr)
    return;
  const Vm *Own = findOwn(*Entry, this->Self);
  if (Own != nullptr) {
    this->Listed = Own->Target;
    this->ListedBorn = Own->Born;
  }
  const Policy &Rules = Entry->Effective;
  const int64_t Wanted =
      Own != nullptr && Own->Slots > 0 ? Own->Slots : Rules.Slots;
  const size_t Slots = std::min(static_cast<size_t>(Wanted), MaxSlots);
  this->Gate.setLimits(
      {.Slots = Slots, .Queue = static_cast<size_t>(Rules.Queue)});
  this->Keys.setOptions({.Memory = Rules.KeyMemory});
  if (this->Target == nullptr)
    this->connectTarget(Slots);
  else
    this->Target->setSlots(Slots);
}

void UpstreamCalls::setState(MemberState New) {
  this->State = New;
  this->Gate.setDraining(New != MemberState::Serving);
}

LoadReport UpstreamCalls::load() const {
  return {.SlotsUsed = static_cast<uint16_t>(this->Gate.running()),
          .Slots = static_cast<uint16_t>(this->Gate.limits().Slots),
          .Queued = static_cast<uint16_t>(this->Gate.queued()),
          .WaitMicros = this->Gate.reportedWaits(Task::now()),
          .State = this->State,
          .Target = this->Listed};
}

bool UpstreamCalls::joinEarlierRun(const RequestKey &Key,
                                   const RequestMessage &Message,
                                   const CallSink &To, std::string &KeyName) {
  const std::string &KeyHeader = this->Dialect.names().IdempotencyKey;
  if (KeyHeader.empty())
    return false;
  const std::string_view Given = headerValue(Message.Call.Headers, KeyHeader);
  if (Given.empty() || Message.Idempotent)
    return false;
  KeyName =
      KeyMemory::entryName(Message.Service, Message.Route, std::string(Given));
  ReplyMessage Answer{.Number = Message.Number, .Load = this->load()};
  switch (
      this->Keys.begin(KeyName, fingerprint(Message.Call), Key, Task::now())) {
  case KeyVerdict::Run:
    return false;
  case KeyVerdict::Join:
    this->Joined.emplace(Key, To);
    return true;
  case KeyVerdict::Repeat:
    Answer = this->Keys.ended(KeyName);
    Answer.Number = Message.Number;
    Answer.Load = this->load();
    break;
  case KeyVerdict::Mismatch:
    Answer.Result = Outcome::NotRun;
    Answer.Reason = "key was used for another request";
    Answer.NoRetry = true;
    break;
  case KeyVerdict::Full:
    Answer.Result = Outcome::NotRun;
    Answer.Reason = "too many keys to remember";
    Answer.NoRetry = true;
    break;
  }
  To.Reply(Answer);
  return true;
}

const char *UpstreamCalls::whyNotReady(const RequestMessage &Message) const {
  if (this->Current == nullptr || this->Target == nullptr)
    return "not ready";
  if (Message.Service != this->Service)
    return "another service runs here";
  if (this->holdsTooMuch(Message))
    return "the node holds too many bytes";
  return nullptr;
}

bool UpstreamCalls::holdsTooMuch(const RequestMessage &Message) const {
  const size_t Bytes = Message.Call.Body.size();
  return Bytes > SmallBodyBytes &&
         this->HeldBytes + Bytes >
             static_cast<size_t>(this->Current->Limits.MaxHeld);
}

void UpstreamCalls::request(const RequestKey &Key,
                            const RequestMessage &Message, CallSink To) {
  const TimePoint Now = Task::now();
  const TimePoint Deadline =
      Now + microseconds(static_cast<int64_t>(Message.Remaining));
  const TimePoint Aim =
      Now + microseconds(static_cast<int64_t>(Message.AimRemaining));
  if (this->Calls.contains(Key) || this->Joined.contains(Key))
    return;
  const char *NotReady = this->whyNotReady(Message);
  std::string KeyName;
  if (NotReady == nullptr && this->joinEarlierRun(Key, Message, To, KeyName))
    return;
  if (this->Calls.empty())
    this->OnFirst();
  this->HeldBytes += Message.Call.Body.size();
  this->Calls[Key] = {.Message = Message,
                      .Deadline = Deadline,
                      .To = std::move(To),
                      .KeyName = KeyName,
                      .Arrived = Now};
  if (NotReady != nullptr) {
    this->refuse(Key, NotReady);
    return;
  }
  const AdmitResult Result = this->Gate.admit(
      {.Key = Key,
       .Route = Message.Route,
       .Priority = Message.Priority,
       .Aim = Aim,
       .Deadline = Deadline,
       .RouteAim = microseconds(static_cast<int64_t>(Message.RouteAim))},
      Now);
  if (Result.Duplicate)
    this->take(Key);
  else if (Result.What == Admitted::Start)
    this->start(Key);
  else if (Result.What == Admitted::Refuse)
    this->refuse(Key, Result.Reason, Result.RetryAfter);
}

void UpstreamCalls::refuse(const RequestKey &Key, const std::string &Reason,
                           Duration RetryAfter) {
  this->Counters.add(Metric::Refused, Reason);
  this->end(Key, {.Number = Key.Number,
                  .Result = Outcome::NotRun,
                  .Reason = Reason,
                  .RetryAfterMicros =
                      static_cast<uint32_t>(toMicroseconds(RetryAfter))});
}

const TargetId &
UpstreamCalls::expectedTarget(const RequestMessage &Message) const {
  // Whoever knows the later start has the newer list.
  const bool SenderKnowsLater =
      !Message.Target.empty() && Message.TargetBorn > this->ListedBorn;
  return SenderKnowsLater ? Message.Target : this->Listed;
}

void UpstreamCalls::start(const RequestKey &Key) {
  const TimePoint Now = Task::now();
  Call &Started = this->Calls.at(Key);
  if (this->Target->busy() >= this->Target->slots()) {
    this->Gate.onNotRun(Key, Now);
    this->refuse(Key, "no connection slot");
    return;
  }
  this->Counters.observe(Metric::WaitTime, "", Now - Started.Arrived);
  Started.Running = true;
  Started.Started = Now;
  const Duration Left = Started.Deadline - Now;
  Started.Slot = this->Target->call(
      this->Messages.request(Started.Message,
                             this->expectedTarget(Started.Message), Left),
      Left, [this, Key](const CallResult &Result) {
        this->onTargetDone(Key, Result);
      });
}

void UpstreamCalls::onTargetDone(const RequestKey &Key,
                                 const CallResult &Result) {
  const TimePoint Now = Task::now();
  ReplyMessage Message = this->Messages.reply(Key.Number, Result);
  if (Message.Result == Outcome::NotRun) {
    this->Gate.onNotRun(Key, Now);
    this->Counters.add(Metric::Refused, Message.Reason);
  } else {
    this->Gate.onFinished(Key, Now);
  }
  const auto Found = this->Calls.find(Key);
  if (Found != this->Calls.end()) {
    const Duration Took = Now - Found->second.Started;
    Message.RunMicros = static_cast<uint32_t>(toMicroseconds(Took));
    const Duration Usual =
        this->Gate.usualRun(Found->second.Message.Route).value_or(Duration());
    Message.UsualMicros = static_cast<uint32_t>(toMicroseconds(Usual));
    this->Counters.observe(Metric::RunTime, endEvent(Message.Result), Took);
  }
  this->end(Key, std::move(Message));
  this->runQueue(Now);
}

void UpstreamCalls::logEnd(const RequestKey &Key, const Call &Of,
                           const ReplyMessage &Message) const {
  const std::string &IdHeader = this->Dialect.names().RequestId;
  const char *Event = endEvent(Message.Result);
  const std::initializer_list<LogField> Fields = {
      {"request", headerValue(Of.Message.Call.Headers, IdHeader)},
      {"origin", Key.Origin.str()},
      {"route", Of.Message.Route.str()},
      {"priority", Of.Message.Priority},
      {"target", this->Listed.str()},
      {"reason", Message.Reason},
      {"status", Message.Answer.Status},
      {"run_us", Message.RunMicros},
      {"left_ms", toMilliseconds(Of.Deadline - Task::now())},
      {"running", this->Gate.running()},
      {"queued", this->Gate.queued()},
      {"retry_after_us", Message.RetryAfterMicros}};
  if (Message.Result == Outcome::Answered)
    logSample(Event, Fields);
  else
    logEvent(LogLevel::Info, Event, Fields);
}

UpstreamCalls::Call UpstreamCalls::take(const RequestKey &Key) {
  const auto Found = this->Calls.find(Key);
  Call Taken = std::move(Found->second);
  this->Calls.erase(Found);
  this->HeldBytes -= Taken.Message.Call.Body.size();
  return Taken;
}

void UpstreamCalls::end(const RequestKey &Key, ReplyMessage Message) {
  if (!this->Calls.contains(Key))
    return;
  const Call Ended = this->take(Key);
  Message.Load = this->load();
  this->logEnd(Key, Ended, Message);
  if (!Ended.KeyName.empty())
    for (const RequestKey &Other :
         this->Keys.finish(Ended.KeyName, Message, Task::now())) {
      const auto Waiting = this->Joined.find(Other);
      if (Waiting == this->Joined.end())
        continue;
      ReplyMessage Copy = Message;
      Copy.Number = Other.Number;
      Waiting->second.Reply(Copy);
      this->Joined.erase(Waiting);
    }
  if (Ended.To.Reply)
    Ended.To.Reply(Message);
}

CancelState UpstreamCalls::cancel(const RequestKey &Key, bool Stop,
                                  CallSink To) {
  const auto Waiting = this->Joined.find(Key);
  if (Waiting != this->Joined.end()) {
    Waiting->second = std::move(To);
    return CancelState::Running;
  }
  const CancelState State = this->Gate.cancel(Key, Task::now());
  const auto Found = this->Calls.find(Key);
  if (Found == this->Calls.end())
    return State;
  if (State == CancelState::NotRun) {
    Found->second.To = CallSink();
    this->refuse(Key, "cancelled");
    return State;
  }
  Found->second.To = std::move(To);
  const bool Shared = !Found->second.KeyName.empty();
  if (Stop && Found->second.Running && !Shared)
    this->Target->cancel(Found->second.Slot, "cancelled by the caller");
  return State;
}

void UpstreamCalls::poll(TimePoint Now) {
  this->runQueue(Now);
  for (const RequestKey &Key : this->Gate.takeOverdue(Now)) {
    const auto Found = this->Calls.find(Key);
    if (Found != this->Calls.end() && Found->second.To.Overdue)
      Found->second.To.Overdue();
  }
  this->Counters.set(Metric::SlotsUsed, "",
                     static_cast<double>(this->Gate.running()));
  this->Counters.set(Metric::QueueLength, "",
                     static_cast<double>(this->Gate.queued()));
}

void UpstreamCalls::runQueue(TimePoint Now) {
  for (const Dequeued &Each : this->Gate.poll(Now)) {
    if (!this->Calls.contains(Each.Key))
      continue;
    if (Each.Start)
      this->start(Each.Key);
    else
      this->refuse(Each.Key, Each.Reason, Each.RetryAfter);
  }
}

} // namespace bluebellbarrow
