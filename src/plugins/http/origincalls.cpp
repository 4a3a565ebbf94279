#include "origincalls.h"

#include "kernel/hashing.h"
#include "kernel/httpheaders.h"
#include "plugins/metrics/metrics.h"
#include "upstreamcalls.h"

#include <algorithm>
#include <charconv>

namespace bluebellbarrow {

namespace {

constexpr size_t MaxRequestBytes = size_t{8} * 1024 * 1024;
constexpr int MaxDepth = 64;
constexpr Duration MetricsPeriod = seconds(1);
constexpr int StatusNotRun = 503;
constexpr int StatusUnknown = 502;
constexpr int StatusLate = 504;

HttpServerOptions serverOptions(const NodeSettings &Settings) {
  HttpServerOptions Options{.Name = "callers",
                            .Ip = Settings.Ip,
                            .Port = Settings.CallerPort,
                            .MaxBodyBytes = MaxRequestBytes};
  Options.CustomHeaders.assign(productHeaders().begin(),
                               productHeaders().end());
  Options.CustomHeaders.insert(Options.CustomHeaders.end(),
                               Settings.ForwardHeaders.begin(),
                               Settings.ForwardHeaders.end());
  return Options;
}

int64_t numberHeader(const HttpRequest &Request, const char *Name,
                     int64_t Default) {
  const std::string_view Text = headerValue(Request.Headers, Name);
  int64_t Number = Default;
  std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  return Number;
}

} // namespace

OriginCalls::OriginCalls(Task &Owner, const NodeSettings &Settings,
                         const PeerIdentity &Self, UpstreamCalls &Local,
                         Metrics &Counters)
    : Owner(Owner), Settings(Settings), Self(Self), Local(Local),
      Counters(Counters), Routes(Self.Name, Self.Life.value()),
      Callers(
          Owner, serverOptions(Settings),
          {.Requested =
               [this](ExchangeId Caller, const HttpRequest &Request,
                      const Address &) { this->onRequest(Caller, Request); },
           .Aborted = [this](ExchangeId Caller) { this->onAborted(Caller); },
           .Malformed =
               [this](const Error &Failure) {
                 logError(LogLevel::Warning, Failure);
                 this->Counters.add(Metric::Malformed, "callers");
               }}),
      Peers(
          Owner, Settings.Ip, Settings.PeerPort, Self,
          {.Reply = [this](const ReplyMessage &Reply) { this->onReply(Reply); },
           .CancelReply =
               [this](const CancelReplyMessage &Reply) {
                 this->onCancelReply(Reply);
               },
           .NotSent =
               [this](RequestNumber Number) {
                 CallId Id = 0;
                 if (Call *Found = this->findAttempt(Number, Id))
                   this->carryOut(
                       Id, Found->Decisions->onNotSent(
                               Found->Decisions->attempts(), Task::now()));
               },
           .Lost =
               [this](RequestNumber Number) {
                 CallId Id = 0;
                 if (Call *Found = this->findAttempt(Number, Id))
                   this->carryOut(
                       Id, Found->Decisions->onLost(
                               Found->Decisions->attempts(), Task::now()));
               },
           .Load =
               [this](const VmName &Name, const LoadReport &Load) {
                 this->Routes.onLoad(Name, Load, Task::now());
               },
           .Malformed =
               [this](const Error &Failure) {
                 logError(LogLevel::Warning, Failure);
                 this->Counters.add(Metric::Malformed, "peers");
               }}) {}

void OriginCalls::setSnapshot(std::shared_ptr<const Snapshot> New) {
  this->Current = std::move(New);
  this->Routes.setSnapshot(this->Current, Task::now());
}

RetryBudget &OriginCalls::budgetOf(const ServiceEntry &Service, TimePoint Now) {
  constexpr double IdleRetriesPerSecond = 10;
  const RetryBudgetOptions Options{.RetriesPerRequest =
                                       Service.Effective.RetryBudget,
                                   .MinRetriesPerSecond = IdleRetriesPerSecond,
                                   .InitialBalance = IdleRetriesPerSecond};
  const auto [Known, New] =
      this->Budgets.try_emplace(Service.Name, Options, Now);
  if (!New)
    Known->second.setOptions(Options);
  return Known->second;
}

void OriginCalls::refuse(ExchangeId Caller, int Status,
                         const std::string &Reason) {
  this->Counters.add(Metric::Refused, Reason);
  this->answer(Caller,
               {.Status = Status,
                .Headers = {{header::Outcome, "not-run"},
                            {header::Reason, Reason},
                            {header::NoRetry, "1"}},
                .Body = Reason + "\n"},
               "not-run");
}

void OriginCalls::answer(ExchangeId Caller, HttpResponse Response,
                         const char *Outcome) {
  this->Counters.add(Metric::Requests, Outcome);
  Response.Close = this->Leaving;
  this->Callers.respond(Caller, std::move(Response));
}

void OriginCalls::onRequest(ExchangeId Caller, const HttpRequest &Request) {
  this->LastRequest = Task::now();
  if (this->Current == nullptr) {
    this->refuse(Caller, StatusNotRun, "no version is in force yet");
    return;
  }
  const RouteEntry *Route =
      this->Current->findRoute(Request.Method, pathOf(Request.Target));
  if (Route == nullptr) {
    this->refuse(Caller, 404, "no route matches");
    return;
  }
  if (numberHeader(Request, header::Depth, 0) >= MaxDepth) {
    this->refuse(Caller, 508, "too many calls in a chain");
    return;
  }
  if (Request.Body.size() > static_cast<size_t>(Route->Effective.MaxBody)) {
    this->refuse(Caller, 413, "request body is too large");
    return;
  }
  this->begin(Caller, Request, *Route);
}

void OriginCalls::begin(ExchangeId Caller, const HttpRequest &Request,
                        const RouteEntry &Route) {
  const TimePoint Now = Task::now();
  const ServiceEntry &Service = this->Current->Services[Route.Service];
  const int64_t Longest = toMilliseconds(Route.Effective.Deadline);
  const int64_t Asked = numberHeader(Request, header::DeadlineMs, Longest);
  const TimePoint Deadline =
      Now + milliseconds(std::clamp<int64_t>(Asked, 0, Longest));
  const std::string_view Key =
      headerValue(Request.Headers, header::IdempotencyKey);

  const CallId Id = ++this->LastCall;
  Call &New = this->Calls[Id];
  New.Caller = Caller;
  New.Deadline = Deadline;
  New.Message.Service = Service.Name;
  New.Message.Route = Route.Name;
  New.Message.Idempotent = Route.Effective.Idempotent;
  New.Message.Depth =
      static_cast<uint8_t>(numberHeader(Request, header::Depth, 0) + 1);
  New.Message.Call = Request;
  New.Decisions = std::make_unique<Exchange>(
      ExchangeOptions{.Service = Service,
                      .Rules = Route.Effective,
                      .Deadline = Deadline,
                      .IdempotencyKey =
                          Route.Effective.Idempotent ? "" : std::string(Key)},
      this->Routes, this->budgetOf(Service, Now));
  this->ByCaller[Caller] = Id;
  this->carryOut(Id, New.Decisions->start(Now));
}

void OriginCalls::carryOut(CallId Id, const ExchangeActions &Actions) {
  for (const ExchangeAction &Each : Actions)
    std::visit([this, Id](const auto &Action) { this->act(Id, Action); }, Each);
  const auto Found = this->Calls.find(Id);
  if (Found == this->Calls.end() || !Found->second.Decisions->done())
    return;
  this->Peers.forget(Found->second.Attempt);
  this->ByAttempt.erase(Found->second.Attempt);
  this->ByCaller.erase(Found->second.Caller);
  this->Calls.erase(Found);
}

void OriginCalls::act(CallId Id, const StartAttempt &Action) {
  const TimePoint Now = Task::now();
  Call &Target = this->Calls.at(Id);
  this->Peers.forget(Target.Attempt);
  this->ByAttempt.erase(Target.Attempt);
  Target.Attempt = RequestNumber(++this->LastNumber);
  this->ByAttempt[Target.Attempt] = Id;
  Target.Message.Number = Target.Attempt;
  Target.Upstream = Action.Upstream.Name;
  Target.Message.Remaining = static_cast<uint64_t>(
      std::max<int64_t>(0, toMicroseconds(Target.Deadline - Now)));
  Target.Local = Action.Upstream.Name == this->Self.Name;
  this->Counters.add(Metric::Attempts, Action.Attempt == 1 ? "first" : "retry");
  if (!Target.Local) {
    this->Peers.sendRequest(Action.Upstream, Target.Message, Now);
    return;
  }
  const RequestKey Key{.Origin = this->Self.Name,
                       .Life = this->Self.Life,
                       .Number = Target.Attempt};
  this->Owner.post([this, Key, Message = Target.Message] {
    this->Local.request(Key, Message, [this](const ReplyMessage &Reply) {
      this->Routes.onLoad(this->Self.Name, Reply.Load, Task::now());
      this->onReply(Reply);
    });
  });
}

void OriginCalls::act(CallId Id, const CancelAttempt &Action) {
  Call &Target = this->Calls.at(Id);
  if (!Target.Local) {
    this->Peers.sendCancel(Action.Upstream, Target.Attempt, Action.Stop,
                           Task::now());
    if (Action.Stop)
      this->Peers.forget(Target.Attempt);
    return;
  }
  const RequestKey Key{.Origin = this->Self.Name,
                       .Life = this->Self.Life,
                       .Number = Target.Attempt};
  this->Owner.post([this, Key, Stop = Action.Stop] {
    this->Local.cancel(Key, Stop, [](const ReplyMessage &) {});
  });
}

void OriginCalls::act(CallId Id, const ForwardAnswer &) {
  Call &Target = this->Calls.at(Id);
  this->answer(Target.Caller, std::move(Target.Answer), "answered");
}

void OriginCalls::act(CallId Id, const FailCall &Action) {
  const Call &Target = this->Calls.at(Id);
  const bool NotRun = Action.Result == Outcome::NotRun;
  const char *Name = NotRun ? "not-run" : "unknown";
  int Status = NotRun ? StatusNotRun : StatusUnknown;
  if (Action.Late && !NotRun)
    Status = StatusLate;
  logRecord(NotRun ? LogLevel::Debug : LogLevel::Info,
            {.Step = "call " + Target.Message.Service.str() + "/" +
                     Target.Message.Route.str(),
             .Peer = Target.Upstream.str(),
             .Version = this->Current->Version.text(),
             .Request = Target.Attempt.value()},
            std::string(Name) + ": " + Action.Reason);
  this->answer(Target.Caller,
               {.Status = Status,
                .Headers = {{header::Outcome, Name},
                            {header::Reason, Action.Reason},
                            {header::NoRetry, "1"}},
                .Body = Action.Reason + "\n"},
               Name);
}

OriginCalls::Call *OriginCalls::findAttempt(RequestNumber Number, CallId &Id) {
  const auto Attempt = this->ByAttempt.find(Number);
  if (Attempt == this->ByAttempt.end())
    return nullptr;
  Id = Attempt->second;
  const auto Found = this->Calls.find(Id);
  return Found == this->Calls.end() ? nullptr : &Found->second;
}

void OriginCalls::onReply(const ReplyMessage &Reply) {
  CallId Id = 0;
  Call *Found = this->findAttempt(Reply.Number, Id);
  if (Found == nullptr)
    return;
  Found->Answer = Reply.Answer;
  this->carryOut(
      Id, Found->Decisions->onReply(Found->Decisions->attempts(), Reply.Result,
                                    Reply.Answer.Status, Reply.Reason,
                                    Reply.NoRetry, Task::now()));
}

void OriginCalls::onCancelReply(const CancelReplyMessage &Reply) {
  CallId Id = 0;
  Call *Found = this->findAttempt(Reply.Number, Id);
  if (Found != nullptr)
    this->carryOut(Id,
                   Found->Decisions->onCancelReply(Found->Decisions->attempts(),
                                                   Reply.State, Task::now()));
}

void OriginCalls::onAborted(ExchangeId Caller) {
  const auto Found = this->ByCaller.find(Caller);
  if (Found == this->ByCaller.end())
    return;
  const CallId Id = Found->second;
  this->Counters.add(Metric::Requests, "abandoned");
  this->carryOut(Id, this->Calls.at(Id).Decisions->onAborted(Task::now()));
}

void OriginCalls::poll(TimePoint Now) {
  std::vector<CallId> Due;
  for (const auto &[Id, Each] : this->Calls)
    if (Now >= Each.Decisions->nextDeadline())
      Due.push_back(Id);
  for (const CallId Id : Due) {
    const auto Found = this->Calls.find(Id);
    if (Found != this->Calls.end())
      this->carryOut(Id, Found->second.Decisions->onTime(Now));
  }
  this->Peers.poll(Now);
  if (Now >= this->NextMetrics)
    this->publishMetrics(Now);
}

void OriginCalls::publishMetrics(TimePoint Now) {
  this->NextMetrics = Now + MetricsPeriod;
  this->Counters.set(Metric::Ejected, "",
                     static_cast<double>(this->Routes.ejectedCount(Now)));
  for (const auto &[Service, Budget] : this->Budgets)
    this->Counters.set(Metric::RetryBudget, Service.str(), Budget.balance());
}

} // namespace bluebellbarrow
