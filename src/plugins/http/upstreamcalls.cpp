#include "upstreamcalls.h"

#include "kernel/hashing.h"
#include "kernel/httpheaders.h"
#include "kernel/task.h"
#include "plugins/metrics/metrics.h"

#include <algorithm>
#include <iterator>

namespace bluebellbarrow {

namespace {

constexpr size_t MaxSlots = 1000;

uint64_t fingerprint(const HttpRequest &Call) {
  return stableHash(Call.Method + "\n" + Call.Target + "\n" + Call.Body);
}

std::vector<std::string> customHeaders(const NodeSettings &Settings) {
  std::vector<std::string> Names(productHeaders().begin(),
                                 productHeaders().end());
  Names.insert(Names.end(), Settings.ForwardHeaders.begin(),
               Settings.ForwardHeaders.end());
  return Names;
}

} // namespace

UpstreamCalls::UpstreamCalls(Task &Owner, const NodeSettings &Settings,
                             Metrics &Counters, std::function<void()> OnFirst)
    : Owner(Owner), Settings(Settings), Counters(Counters),
      OnFirst(std::move(OnFirst)), Gate(AdmissionLimits()),
      Keys(KeyMemoryOptions()) {}

void UpstreamCalls::setSnapshot(std::shared_ptr<const Snapshot> New) {
  this->Current = std::move(New);
  const ServiceEntry *Own = this->Current->findService(this->Settings.Service);
  if (Own == nullptr)
    return;
  const Policy &Rules = Own->Effective;
  const size_t Slots = std::min(static_cast<size_t>(Rules.Slots), MaxSlots);
  this->Gate.setLimits(
      {.Slots = Slots, .Queue = static_cast<size_t>(Rules.Queue)});
  this->Keys.setOptions({.Memory = Rules.KeyMemory});
  if (this->Target != nullptr && this->Target->slots() >= Slots)
    return;
  if (this->Target != nullptr && this->Gate.running() > 0)
    return;
  this->Target = std::make_unique<HttpClient>(
      this->Owner,
      HttpClientOptions{.Name = "target",
                        .LocalIp = {},
                        .Ip = this->Settings.TargetIp,
                        .Port = this->Settings.TargetPort,
                        .Slots = Slots,
                        .MaxBodyBytes = static_cast<size_t>(Rules.MaxBody),
                        .CustomHeaders = customHeaders(this->Settings)});
}

void UpstreamCalls::setState(MemberState New) {
  this->State = New;
  this->Gate.setDraining(New != MemberState::Serving);
}

LoadReport UpstreamCalls::load() const {
  return {.SlotsUsed = static_cast<uint16_t>(this->Gate.running()),
          .Slots = static_cast<uint16_t>(this->Gate.limits().Slots),
          .Queued = static_cast<uint16_t>(this->Gate.queued()),
          .State = this->State};
}

bool UpstreamCalls::joinEarlierRun(const RequestKey &Key,
                                   const RequestMessage &Message,
                                   const Sink &Reply, std::string &KeyName) {
  const std::string_view Given =
      headerValue(Message.Call.Headers, header::IdempotencyKey);
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
    this->Joined.emplace(Key, Reply);
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
  Reply(Answer);
  return true;
}

void UpstreamCalls::request(const RequestKey &Key,
                            const RequestMessage &Message, Sink Reply) {
  const TimePoint Now = Task::now();
  const TimePoint Deadline =
      Now + microseconds(static_cast<int64_t>(Message.Remaining));
  if (this->Calls.contains(Key) || this->Joined.contains(Key))
    return;
  const bool Ready = this->Current != nullptr && this->Target != nullptr &&
                     Message.Service == this->Settings.Service;
  std::string KeyName;
  if (Ready && this->joinEarlierRun(Key, Message, Reply, KeyName))
    return;
  if (this->Calls.empty())
    this->OnFirst();
  this->Calls[Key] = {.Message = Message,
                      .Deadline = Deadline,
                      .Reply = std::move(Reply),
                      .KeyName = KeyName};
  if (!Ready) {
    this->refuse(Key, "not ready");
    return;
  }
  const AdmitResult Result = this->Gate.admit(Key, Deadline, Now);
  if (Result.Duplicate)
    this->Calls.erase(Key);
  else if (Result.What == Admitted::Start)
    this->start(Key);
  else if (Result.What == Admitted::Refuse)
    this->refuse(Key, Result.Reason);
}

void UpstreamCalls::refuse(const RequestKey &Key, const std::string &Reason) {
  this->Counters.add(Metric::Refused, Reason);
  this->end(
      Key, {.Number = Key.Number, .Result = Outcome::NotRun, .Reason = Reason});
}

HttpRequest UpstreamCalls::targetRequest(const Call &Of, TimePoint Now) const {
  HttpRequest Request = Of.Message.Call;
  const auto IsOurs = [](const HttpHeader &Each) {
    return Each.Name == header::DeadlineMs || Each.Name == header::Depth ||
           Each.Name == header::Route;
  };
  std::erase_if(Request.Headers, IsOurs);
  const int64_t Left = toMilliseconds(Of.Deadline - Now);
  Request.Headers.push_back(
      {header::DeadlineMs, std::to_string(std::max<int64_t>(1, Left))});
  Request.Headers.push_back({header::Depth, std::to_string(Of.Message.Depth)});
  Request.Headers.push_back({header::Route, Of.Message.Route.str()});
  return Request;
}

void UpstreamCalls::start(const RequestKey &Key) {
  const TimePoint Now = Task::now();
  Call &Started = this->Calls.at(Key);
  if (this->Target->busy() >= this->Target->slots()) {
    this->Gate.onNotRun(Key, Now);
    this->refuse(Key, "no connection slot");
    return;
  }
  Started.Running = true;
  Started.Slot = this->Target->call(this->targetRequest(Started, Now),
                                    Started.Deadline - Now,
                                    [this, Key](const CallResult &Result) {
                                      this->onTargetDone(Key, Result);
                                    });
}

void UpstreamCalls::onTargetDone(const RequestKey &Key,
                                 const CallResult &Result) {
  const TimePoint Now = Task::now();
  ReplyMessage Message{.Number = Key.Number};
  const HttpHeaders &Headers = Result.Response.Headers;
  const bool TargetRefused = Result.End == CallEnd::Answered &&
                             headerValue(Headers, header::Outcome) == "not-run";
  if (TargetRefused) {
    this->Gate.onNotRun(Key, Now);
    Message.Result = Outcome::NotRun;
    Message.Reason = "target refused";
    Message.NoRetry = !headerValue(Headers, header::NoRetry).empty();
    this->Counters.add(Metric::Refused, Message.Reason);
  } else if (Result.End == CallEnd::Answered) {
    this->Gate.onFinished(Key, Now);
    Message.Result = Outcome::Answered;
    Message.Answer = Result.Response;
  } else if (Result.End == CallEnd::NotSent) {
    this->Gate.onNotRun(Key, Now);
    Message.Result = Outcome::NotRun;
    Message.Reason = "target can't be reached";
    this->Counters.add(Metric::Refused, Message.Reason);
  } else {
    this->Gate.onFinished(Key, Now);
    Message.Result = Outcome::Unknown;
    Message.Reason = "target: " + Result.Cause;
  }
  this->end(Key, std::move(Message));
  this->runQueue(Now);
}

void UpstreamCalls::end(const RequestKey &Key, ReplyMessage Message) {
  const auto Found = this->Calls.find(Key);
  if (Found == this->Calls.end())
    return;
  const Call Ended = std::move(Found->second);
  this->Calls.erase(Found);
  Message.Load = this->load();
  if (!Ended.KeyName.empty())
    for (const RequestKey &Other :
         this->Keys.finish(Ended.KeyName, Message, Task::now())) {
      const auto Waiting = this->Joined.find(Other);
      if (Waiting == this->Joined.end())
        continue;
      ReplyMessage Copy = Message;
      Copy.Number = Other.Number;
      Waiting->second(Copy);
      this->Joined.erase(Waiting);
    }
  if (Ended.Reply)
    Ended.Reply(Message);
}

CancelState UpstreamCalls::cancel(const RequestKey &Key, bool Stop,
                                  Sink Reply) {
  const auto Waiting = this->Joined.find(Key);
  if (Waiting != this->Joined.end()) {
    Waiting->second = std::move(Reply);
    return CancelState::Running;
  }
  const CancelState State = this->Gate.cancel(Key, Task::now());
  const auto Found = this->Calls.find(Key);
  if (Found == this->Calls.end())
    return State;
  if (State == CancelState::NotRun) {
    Found->second.Reply = nullptr;
    this->refuse(Key, "cancelled");
    return State;
  }
  Found->second.Reply = std::move(Reply);
  const bool Shared = !Found->second.KeyName.empty();
  if (Stop && Found->second.Running && !Shared)
    this->Target->cancel(Found->second.Slot, "cancelled by the caller");
  return State;
}

void UpstreamCalls::poll(TimePoint Now) {
  this->runQueue(Now);
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
      this->refuse(Each.Key, Each.Reason);
  }
}

} // namespace bluebellbarrow
