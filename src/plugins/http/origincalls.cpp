#include "origincalls.h"

#include "kernel/httpheaders.h"
#include "kernel/log.h"
#include "plugins/metrics/metrics.h"
#include "upstreamcalls.h"

#include <algorithm>

namespace bluebellbarrow {

namespace {

constexpr int MaxDepth = 64;

/** Connections of callers; the rest of the descriptors is for peers. */
constexpr size_t MaxCallers = 3000;

constexpr Duration MetricsPeriod = seconds(1);

/** Time after which a caller may find a node ready that was not. */
constexpr Duration NotReadyRetryAfter = milliseconds(300);

constexpr int StatusNotRun = 503;
constexpr int StatusUnknown = 502;
constexpr int StatusLate = 504;

uint64_t microsUntil(TimePoint Then, TimePoint Now) {
  return static_cast<uint64_t>(
      std::max<int64_t>(0, toMicroseconds(Then - Now)));
}

} // namespace

OriginCalls::OriginCalls(Task &Owner, const NodeSettings &Settings,
                         const CallDialect &Dialect, const PeerIdentity &Self,
                         UpstreamCalls &Local, Metrics &Counters)
    : Owner(Owner), Service(Settings.Service), Messages(Dialect), Self(Self),
      Local(Local), Counters(Counters), Routes(Self.Name, Self.Life.value()),
      ReturnTimes(Self.Life.value()),
      Callers(
          Owner,
          {.Name = "callers",
           .Local = Settings.Callers,
           .MaxConnections = MaxCallers},
          {.Requested =
               [this](ExchangeId Caller, const HttpRequest &Request,
                      const Endpoint &) { this->onRequest(Caller, Request); },
           .Aborted = [this](ExchangeId Caller) { this->onAborted(Caller); },
           .Malformed =
               [this](const Error &Failure) {
                 logError(LogLevel::Warning, Failure);
                 this->Counters.add(Metric::Malformed, "callers");
               }}),
      Peers(
          Owner, Settings.BindIp, Settings.PeerPort, Self,
          {.Reply = [this](const ReplyMessage &Reply) { this->onReply(Reply); },
           .CancelReply =
               [this](const CancelReplyMessage &Reply) {
                 this->onCancelReply(Reply);
               },
           .Overdue =
               [this](RequestNumber Number) {
                 this->onAttempt(Number, &Exchange::onOverdue);
               },
           .NotSent =
               [this](RequestNumber Number) {
                 this->onAttempt(Number, &Exchange::onNotSent);
               },
           .Lost =
               [this](RequestNumber Number) {
                 this->onAttempt(Number, &Exchange::onLost);
               },
           .Load =
               [this](const VmName &Name, const LoadReport &Load) {
                 this->Routes.onLoad(Name, Load, Task::now());
               },
           .Silent =
               [this](const VmName &Name, bool Silent) {
                 this->Routes.onSilent(Name, Silent);
               },
           .Malformed =
               [this](const Error &Failure) {
                 logError(LogLevel::Warning, Failure);
                 this->Counters.add(Metric::Malformed, "peers");
               }}) {}

void OriginCalls::setSnapshot(std::shared_ptr<const Snapshot> New) {
  this->Current = std::move(New);
  this->Routes.setSnapshot(this->Current, Task::now());
  const CallerLimits &Limits = this->Current->Limits;
  this->Callers.setLimits(
      {.Message = {.MaxHeaderBytes = static_cast<size_t>(Limits.MaxHeader),
                   .MaxBodyBytes = static_cast<size_t>(Limits.MaxBody)},
       .HeaderTime = Limits.HeaderTime,
       .IdleTime = Limits.IdleTime,
       .MaxHeldBytes = static_cast<size_t>(Limits.MaxHeld)});
}

void OriginCalls::refuse(ExchangeId Caller, const HttpRequest &Request,
                         int Status, const std::string &Reason) {
  this->Counters.add(Metric::Refused, Reason);
  logEvent(
      LogLevel::Info, "request refused",
      {{"request", this->Messages.requestId(Request)},
       {"target", Request.Target},
       {"status", Status},
       {"reason", Reason},
       {"version", this->Current == nullptr ? std::string("none")
                                            : this->Current->Version.text()}});
  HttpResponse Response = this->Messages.ownAnswer(Status, "not-run", Reason);
  if (Status == StatusNotRun)
    this->ReturnTimes.addTo(Response, NotReadyRetryAfter);
  this->answer(Caller, std::move(Response), "not-run");
}

void OriginCalls::answer(ExchangeId Caller, HttpResponse Response,
                         const char *Outcome) {
  this->Counters.add(Metric::Requests, Outcome);
  this->Callers.respond(Caller, std::move(Response));
}

void OriginCalls::onRequest(ExchangeId Caller, const HttpRequest &Request) {
  if (this->Current == nullptr) {
    this->refuse(Caller, Request, StatusNotRun, "no version is in force yet");
    return;
  }
  if (this->Draining) {
    this->refuse(Caller, Request, StatusNotRun, "the node stops");
    return;
  }
  const RouteEntry *Route = this->Current->Routes->find(
      this->Messages.host(Request), Request.Method, pathOf(Request.Target));
  if (Route == nullptr || Route->Shares.empty()) {
    this->refuse(Caller, Request, 404, "no route matches");
    return;
  }
  if (this->Messages.depth(Request) >= MaxDepth) {
    this->refuse(Caller, Request, 508, "too many calls in a chain");
    return;
  }
  if (Request.Body.size() > static_cast<size_t>(Route->Effective->MaxBody)) {
    this->refuse(Caller, Request, 413, "request body is too large");
    return;
  }
  this->begin(Caller, Request, *Route);
}

void OriginCalls::begin(ExchangeId Caller, const HttpRequest &Request,
                        const RouteEntry &Route) {
  const TimePoint Now = Task::now();
  const Policy &Rules = *Route.Effective;
  const size_t Share = this->Shares.next(Route);
  const ServiceEntry &Service =
      this->Current->Services[Route.Shares[Share].Service];
  const std::string_view Key = Rules.Idempotent
                                   ? std::string_view()
                                   : this->Messages.idempotencyKey(Request);

  const CallId Id = ++this->LastCall;
  Call &New = this->Calls[Id];
  New.Caller = Caller;
  New.Began = Now;
  New.Deadline = Now + this->Messages.remaining(Request, Rules.Deadline);
  New.Aim = std::min(New.Deadline, Now + aimOf(Rules));
  New.Message =
      this->Messages.message(Request, Route, Service.Name, this->Service);
  New.Decisions = std::make_unique<Exchange>(
      ExchangeOptions{.Map = this->Current,
                      .Service = &Service,
                      .Rules = &Rules,
                      .Route = Route.Name,
                      .Aim = New.Aim,
                      .Deadline = New.Deadline,
                      .Bytes = Request.Body.size(),
                      .IdempotencyKey = std::string(Key)},
      this->Routes,
      this->Budgets.of(Service.Name, Service.Effective, this->Current->VmCount,
                       Now));
  this->ByCaller[Caller] = Id;
  this->carryOut(Id, New.Decisions->start(Now));
}

void OriginCalls::carryOut(CallId Id, const ExchangeActions &Actions) {
  for (const ExchangeAction &Each : Actions)
    std::visit([this, Id](const auto &Action) { this->act(Id, Action); }, Each);
  const auto Found = this->Calls.find(Id);
  if (Found == this->Calls.end() || !Found->second.Decisions->done())
    return;
  while (!Found->second.Numbers.empty())
    this->forgetAttempt(Found->second, Found->second.Numbers.begin()->first);
  this->ByCaller.erase(Found->second.Caller);
  this->Calls.erase(Found);
}

void OriginCalls::forgetAttempt(Call &Of, int Index) {
  const auto Found = Of.Numbers.find(Index);
  if (Found == Of.Numbers.end())
    return;
  this->Peers.forget(Found->second);
  this->Attempts.erase(Found->second);
  Of.Numbers.erase(Found);
}

void OriginCalls::act(CallId Id, const StartAttempt &Action) {
  const TimePoint Now = Task::now();
  Call &Target = this->Calls.at(Id);
  const RequestNumber Number(++this->LastNumber);
  Target.Numbers[Action.Attempt] = Number;
  this->Attempts[Number] = {
      .Call = Id, .Index = Action.Attempt, .Upstream = Action.Upstream};
  Target.Upstream = Action.Upstream;
  Target.Message.Number = Number;
  Target.Message.Target = Action.Upstream.Target;
  Target.Message.TargetBorn = Action.Upstream.Born;
  Target.Message.Remaining = microsUntil(Target.Deadline, Now);
  Target.Message.AimRemaining = microsUntil(Target.Aim, Now);
  this->Counters.add(Metric::Attempts, Action.Attempt == 1 ? "first" : "retry");
  if (Action.Upstream.Name != this->Self.Name) {
    this->Peers.sendRequest(Action.Upstream, Target.Message, Now);
    return;
  }
  const RequestKey Key{
      .Origin = this->Self.Name, .Life = this->Self.Life, .Number = Number};
  this->Owner.post([this, Key, Message = Target.Message] {
    this->Local.request(Key, Message,
                        {.Reply =
                             [this](const ReplyMessage &Reply) {
                               this->Routes.onLoad(this->Self.Name, Reply.Load,
                                                   Task::now());
                               this->onReply(Reply);
                             },
                         .Overdue =
                             [this, Number = Key.Number] {
                               this->onAttempt(Number, &Exchange::onOverdue);
                             }});
  });
}

void OriginCalls::act(CallId Id, const CancelAttempt &Action) {
  Call &Target = this->Calls.at(Id);
  const auto Known = Target.Numbers.find(Action.Attempt);
  if (Known == Target.Numbers.end())
    return;
  const RequestNumber Number = Known->second;
  if (Action.Upstream.Name != this->Self.Name) {
    this->Peers.sendCancel(Action.Upstream, Number, Action.Stop, Task::now());
  } else {
    const RequestKey Key{
        .Origin = this->Self.Name, .Life = this->Self.Life, .Number = Number};
    this->Owner.post([this, Key, Stop = Action.Stop] {
      this->Local.cancel(Key, Stop, CallSink());
    });
  }
  if (Action.Stop)
    this->forgetAttempt(Target, Action.Attempt);
}

void OriginCalls::act(CallId Id, const ForwardAnswer &) {
  Call &Target = this->Calls.at(Id);
  this->logEnd(Target, "answered", Target.Answer.Status, "");
  this->answer(Target.Caller, std::move(Target.Answer), "answered");
}

void OriginCalls::act(CallId Id, const FailCall &Action) {
  const Call &Target = this->Calls.at(Id);
  const bool NotRun = Action.Result == Outcome::NotRun;
  const char *Name = NotRun ? "not-run" : "unknown";
  int Status = NotRun ? StatusNotRun : StatusUnknown;
  if (Action.Late && !NotRun)
    Status = StatusLate;
  this->logEnd(Target, Name, Status, Action.Reason);
  HttpResponse Response = this->Messages.ownAnswer(Status, Name, Action.Reason);
  if (NotRun)
    this->ReturnTimes.addTo(Response, Action.RetryAfter);
  this->answer(Target.Caller, std::move(Response), Name);
}

void OriginCalls::logEnd(const Call &Of, const char *Outcome, int Status,
                         const std::string &Reason) const {
  const TimePoint Now = Task::now();
  this->Counters.observe(Metric::RequestTime, Outcome, Now - Of.Began);
  // Fields only refer to their texts.
  const std::string Version = this->Current->Version.text();
  const std::initializer_list<LogField> Fields = {
      {"request", this->Messages.requestId(Of.Message.Call)},
      {"service", Of.Message.Service.str()},
      {"route", Of.Message.Route.str()},
      {"upstream", Of.Upstream.Name.str()},
      {"target", Of.Upstream.Target.str()},
      {"attempts", Of.Decisions->attempts()},
      {"outcome", Outcome},
      {"status", Status},
      {"reason", Reason},
      {"took_us", toMicroseconds(Now - Of.Began)},
      {"left_ms", toMilliseconds(Of.Deadline - Now)},
      {"version", Version}};
  if (Reason.empty())
    logSample("call answered", Fields);
  else
    logEvent(LogLevel::Info, "call failed", Fields);
}

void OriginCalls::onAttempt(RequestNumber Number,
                            ExchangeActions (Exchange::*Event)(int,
                                                               TimePoint)) {
  const auto Found = this->Attempts.find(Number);
  if (Found == this->Attempts.end())
    return;
  const Attempt Known = Found->second;
  Exchange &Decisions = *this->Calls.at(Known.Call).Decisions;
  this->carryOut(Known.Call, (Decisions.*Event)(Known.Index, Task::now()));
}

void OriginCalls::onReply(const ReplyMessage &Reply) {
  const auto Found = this->Attempts.find(Reply.Number);
  if (Found == this->Attempts.end())
    return;
  const Attempt Known = Found->second;
  Call &Target = this->Calls.at(Known.Call);
  if (Reply.Result == Outcome::Answered) {
    Target.Answer = Reply.Answer;
    Target.Upstream = Known.Upstream;
    std::optional<Duration> Usual;
    if (Reply.UsualMicros > 0)
      Usual = microseconds(Reply.UsualMicros);
    this->Routes.onRun(Known.Upstream.id(),
                       {.Route = Target.Message.Route,
                        .Aim = Target.Aim - Target.Began,
                        .Took = microseconds(Reply.RunMicros),
                        .Usual = Usual,
                        .Bytes = Reply.Answer.Body.size()});
  }
  this->forgetAttempt(Target, Known.Index);
  this->carryOut(Known.Call,
                 Target.Decisions->onReply(
                     Known.Index,
                     {.Result = Reply.Result,
                      .Status = Reply.Answer.Status,
                      .Reason = Reply.Reason,
                      .NoRetry = Reply.NoRetry,
                      .ReachedTarget = Reply.ReachedTarget,
                      .RetryAfter = microseconds(Reply.RetryAfterMicros)},
                     Task::now()));
}

void OriginCalls::onCancelReply(const CancelReplyMessage &Reply) {
  const auto Found = this->Attempts.find(Reply.Number);
  if (Found == this->Attempts.end())
    return;
  const Attempt Known = Found->second;
  Exchange &Decisions = *this->Calls.at(Known.Call).Decisions;
  this->carryOut(Known.Call, Decisions.onCancelReply(Known.Index, Reply.State,
                                                     Task::now()));
}

void OriginCalls::onAborted(ExchangeId Caller) {
  const auto Found = this->ByCaller.find(Caller);
  if (Found == this->ByCaller.end())
    return;
  const CallId Id = Found->second;
  this->Counters.add(Metric::Requests, "abandoned");
  this->carryOut(Id, this->Calls.at(Id).Decisions->onAborted(Task::now()));
}

void OriginCalls::endAll(const std::string &Reason) {
  std::vector<CallId> Open;
  for (const auto &[Id, Each] : this->Calls)
    Open.push_back(Id);
  for (const CallId Id : Open) {
    const auto Found = this->Calls.find(Id);
    if (Found != this->Calls.end())
      this->carryOut(Id, Found->second.Decisions->onStopped(Reason));
  }
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
  for (const auto &[Service, Budget] : this->Budgets.all())
    this->Counters.set(Metric::RetryBudget, Service.str(), Budget.balance());
}

} // namespace bluebellbarrow
