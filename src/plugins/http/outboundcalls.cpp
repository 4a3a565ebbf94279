#include "outboundcalls.h"

#include "callstatus.h"
#include "inboundcalls.h"
#include "kernel/httpheaders.h"
#include "kernel/log.h"
#include "plugins/admission/linkadmission.h"
#include "plugins/metrics/metrics.h"

#include <algorithm>

namespace bluebellbarrow {

namespace {

/** Depth in a chain of calls from which requests are refused. */
constexpr int MaxDepth = 64;

constexpr Duration MetricsPeriod = seconds(1);

/** Mean size of a route's responses from which they count as long. */
constexpr double LongResponseBytes = 64.0 * 1024;

/** Retry-After of a node that has no version yet or shuts down. */
constexpr Duration NotReadyRetryAfter = milliseconds(300);

} // namespace

OutboundCalls::OutboundCalls(Task &Owner, const NodeSettings &Settings,
                             const CallProtocol &Protocol,
                             const PeerIdentity &Self, InboundCalls &Inbound,
                             LinkScheduler &Link, ByteBudget &Budget,
                             Metrics &NodeMetrics)
    : Owner(Owner), Service(Settings.Service), Codec(Protocol), Self(Self),
      Inbound(Inbound), Link(Link), Budget(Budget), NodeMetrics(NodeMetrics),
      UpstreamRouter(Self.Name, Self.Incarnation.value()),
      TrafficSplit(Self.Incarnation.value()),
      RetryJitter(Self.Incarnation.value()), Budgets(Self.Incarnation.value()),
      CallerServer(
          Owner,
          {.Name = "callers",
           .Local = Settings.CallerEndpoint,
           .MaxConnections =
               maxCallerConnections(Settings.Resources.Descriptors),
           .Link = &Link,
           .Budget = &Budget},
          {.RequestReceived =
               [this](ExchangeId Exchange, const HttpRequest &Request,
                      TimePoint ReceivedAt) {
                 this->onRequest(Exchange, Request, ReceivedAt);
               },
           .Aborted =
               [this](ExchangeId Exchange) { this->onAborted(Exchange); },
           .Malformed =
               [this](const Error &Failure) {
                 logError(LogLevel::Warning, Failure);
                 this->NodeMetrics.add(Metric::Malformed, "callers");
               },
           .IsIdempotent =
               [this](const HttpRequest &Request) {
                 return this->isIdempotent(Request);
               },
           .Stalled =
               [this](const StalledConnection &Connection) {
                 this->onStalled(Connection);
               }}),
      Peers(
          Owner, Settings.BindIp, Settings.PeerPort, Self,
          {.Reply =
               [this](ReplyMessage Reply) { this->onReply(std::move(Reply)); },
           .CancelReply =
               [this](const CancelReplyMessage &Reply) {
                 this->onCancelReply(Reply);
               },
           .Overdue =
               [this](RequestNumber Number) {
                 this->onAttemptEvent(Number, &OutboundCall::onOverdue);
               },
           .NotSent =
               [this](RequestNumber Number) {
                 this->onAttemptEvent(Number, &OutboundCall::onNotSent);
               },
           .Lost =
               [this](RequestNumber Number) {
                 this->onAttemptEvent(Number, &OutboundCall::onConnectionLost);
               },
           .Load =
               [this](const VmName &Name, const LoadReport &Load) {
                 this->UpstreamRouter.onLoad(Name, Load, Task::now());
               },
           .Unresponsive =
               [this](const VmName &Name, bool Unresponsive) {
                 this->UpstreamRouter.setUnresponsive(Name, Unresponsive);
               },
           .Malformed =
               [this](const Error &Failure) {
                 logError(LogLevel::Warning, Failure);
                 this->NodeMetrics.add(Metric::Malformed, "peers");
               }},
          &Link, &Budget) {}

void OutboundCalls::setSnapshot(std::shared_ptr<const Snapshot> New) {
  this->CurrentSnapshot = std::move(New);
  this->UpstreamRouter.setSnapshot(this->CurrentSnapshot, Task::now());
  const CallerLimits &Limits = this->CurrentSnapshot->Limits;
  this->CallerServer.setLimits(
      {.MessageLimits = {.MaxHeaderBytes =
                             static_cast<size_t>(Limits.MaxHeaderBytes),
                         .MaxBodyBytes =
                             static_cast<size_t>(Limits.MaxBodyBytes)},
       .HeaderTimeout = Limits.HeaderTimeout,
       .IdleTimeout = Limits.IdleTimeout,
       .StallTimeout = Limits.StallTimeout,
       .MaxBufferedBytes = static_cast<size_t>(Limits.MaxBufferedBytes),
       .MaxPipelinedRequests =
           static_cast<size_t>(Limits.MaxPipelinedRequests)});
}

void OutboundCalls::refuse(ExchangeId Exchange, const HttpRequest &Request,
                           int Status, const std::string &Reason,
                           Duration RetryAfter) {
  this->NodeMetrics.add(Metric::Refused, Reason);
  logEvent(LogLevel::Info, "request refused",
           {{"request", this->Codec.requestId(Request)},
            {"target", Request.RequestTarget},
            {"status", Status},
            {"reason", Reason},
            {"version", this->CurrentSnapshot == nullptr
                            ? std::string("none")
                            : this->CurrentSnapshot->Version.text()}});
  HttpResponse Response =
      this->Codec.makeErrorResponse(Status, "not-run", Reason);
  if (Status == StatusNotRun)
    this->RetryJitter.addHeader(Response, RetryAfter > Duration::zero()
                                              ? RetryAfter
                                              : NotReadyRetryAfter);
  this->respond(Exchange, std::move(Response), "not-run");
}

void OutboundCalls::respond(ExchangeId Exchange, HttpResponse Response,
                            const char *OutcomeName) {
  this->NodeMetrics.add(Metric::Requests, OutcomeName);
  this->CallerServer.respond(Exchange, std::move(Response));
}

const RouteEntry *OutboundCalls::findRoute(const HttpRequest &Request) const {
  const RouteEntry *Route = this->CurrentSnapshot->Routes->find(
      this->Codec.host(Request), Request.Method,
      extractPath(Request.RequestTarget));
  return Route == nullptr || Route->WeightedServices.empty() ? nullptr : Route;
}

bool OutboundCalls::isIdempotent(const HttpRequest &Request) const {
  if (this->CurrentSnapshot == nullptr)
    return false;
  const RouteEntry *Route = this->findRoute(Request);
  return Route != nullptr && Route->EffectivePolicy->Idempotent;
}

void OutboundCalls::onRequest(ExchangeId Exchange, const HttpRequest &Request,
                              TimePoint ReceivedAt) {
  if (this->CurrentSnapshot == nullptr) {
    this->refuse(Exchange, Request, StatusNotRun, "no version is in force yet");
    return;
  }
  if (this->Draining) {
    this->refuse(Exchange, Request, StatusNotRun, "the node stops");
    return;
  }
  const RouteEntry *Route = this->findRoute(Request);
  if (Route == nullptr) {
    this->refuse(Exchange, Request, 404, "no route matches");
    return;
  }
  if (this->Codec.depth(Request) >= MaxDepth) {
    this->refuse(Exchange, Request, 508, "too many calls in a chain");
    return;
  }
  if (Request.Body.size() >
      static_cast<size_t>(Route->EffectivePolicy->MaxBodyBytes)) {
    this->refuse(Exchange, Request, 413, "request body is too large");
    return;
  }
  const double ResponseBytes =
      this->UpstreamRouter.meanResponseBytes(Route->Name);
  if (ResponseBytes > LongResponseBytes &&
      !this->CallerServer.makeRoom(static_cast<size_t>(ResponseBytes),
                                   this->Link.reservedBytes())) {
    this->refuse(Exchange, Request, StatusNotRun,
                 "the node holds too many bytes");
    return;
  }
  this->startCall(Exchange, Request, *Route, ReceivedAt);
}

std::optional<Duration> OutboundCalls::linkRetryAfter(const RouteEntry &Route,
                                                      TimePoint SoftDeadline,
                                                      TimePoint Deadline,
                                                      TimePoint Now) const {
  const double Bytes = this->UpstreamRouter.meanResponseBytes(Route.Name);
  if (Bytes < MinLinkResponseBytes)
    return std::nullopt;
  const Policy &RoutePolicy = *Route.EffectivePolicy;
  return bluebellbarrow::linkRetryAfter(
      {.ServiceTime = this->UpstreamRouter.meanServiceTime(
           Route.Name, effectiveLatencyObjective(RoutePolicy)),
       .Backlog = this->Link.timeToClear(),
       .Transfer = this->Link.timeToCarry(Bytes),
       .Left = {.ToSoftDeadline = SoftDeadline - Now,
                .ToDeadline = Deadline - Now}});
}

void OutboundCalls::startCall(ExchangeId Exchange, const HttpRequest &Request,
                              const RouteEntry &Route, TimePoint ReceivedAt) {
  const TimePoint Now = Task::now();
  const Policy &RoutePolicy = *Route.EffectivePolicy;
  const TimePoint Deadline =
      ReceivedAt + this->Codec.remainingTime(Request, RoutePolicy.Deadline);
  if (Now >= Deadline) {
    this->refuse(Exchange, Request, StatusNotRun,
                 "the deadline passed before the request could start");
    return;
  }
  const TimePoint SoftDeadline =
      std::min(Deadline, ReceivedAt + effectiveLatencyObjective(RoutePolicy));
  if (const auto RetryAfter =
          this->linkRetryAfter(Route, SoftDeadline, Deadline, Now)) {
    this->refuse(Exchange, Request, StatusNotRun, "the link is busy",
                 *RetryAfter);
    return;
  }
  const size_t Index = this->TrafficSplit.next(Route);
  const ServiceEntry &Service =
      this->CurrentSnapshot
          ->Services[Route.WeightedServices[Index].ServiceIndex];
  const std::string_view Key = RoutePolicy.Idempotent
                                   ? std::string_view()
                                   : this->Codec.idempotencyKey(Request);

  const CallId Id = ++this->LastCallId;
  Call &New = this->Calls[Id];
  New.HttpExchange = Exchange;
  New.StartedAt = ReceivedAt;
  New.Deadline = Deadline;
  New.SoftDeadline = SoftDeadline;
  const double ResponseBytes =
      this->UpstreamRouter.meanResponseBytes(Route.Name);
  if (ResponseBytes >= MinLinkResponseBytes) {
    New.ReservedBytes = static_cast<size_t>(ResponseBytes);
    this->Link.reserve(New.ReservedBytes);
  }
  New.Message =
      this->Codec.toRequestMessage(Request, Route, Service.Name, this->Service);
  New.StateMachine = std::make_unique<OutboundCall>(
      OutboundCallOptions{.ConfigSnapshot = this->CurrentSnapshot,
                          .Service = &Service,
                          .RoutePolicy = &RoutePolicy,
                          .Route = Route.Name,
                          .SoftDeadline = New.SoftDeadline,
                          .Deadline = New.Deadline,
                          .BodyBytes = Request.Body.size(),
                          .IdempotencyKey = std::string(Key)},
      this->UpstreamRouter,
      this->Budgets.budgetFor(Service.Name, Service.EffectivePolicy,
                              this->CurrentSnapshot->VmCount, Now));
  this->CallsByExchange[Exchange] = Id;
  this->executeActions(Id, New.StateMachine->start(Now));
}

void OutboundCalls::onAttemptEvent(
    RequestNumber Number,
    OutboundCallActions (OutboundCall::*Event)(int, TimePoint)) {
  const auto Found = this->Attempts.find(Number);
  if (Found == this->Attempts.end())
    return;
  const Attempt Known = Found->second;
  OutboundCall &StateMachine = *this->Calls.at(Known.ParentCall).StateMachine;
  this->executeActions(Known.ParentCall,
                       (StateMachine.*Event)(Known.Index, Task::now()));
}

void OutboundCalls::onReply(ReplyMessage Reply) {
  const auto Found = this->Attempts.find(Reply.Number);
  if (Found == this->Attempts.end())
    return;
  const Attempt Known = Found->second;
  Call &Open = this->Calls.at(Known.ParentCall);
  if (Reply.Result == Outcome::Answered) {
    Open.Upstream = Known.Upstream;
    std::optional<Duration> MeanServiceTime;
    if (Reply.MeanServiceTimeMicros > 0)
      MeanServiceTime = microseconds(Reply.MeanServiceTimeMicros);
    this->UpstreamRouter.onRequestFinished(
        Known.Upstream.id(),
        {.Route = Open.Message.Route,
         .LatencyObjective = Open.SoftDeadline - Open.StartedAt,
         .ServiceTime = microseconds(Reply.ServiceTimeMicros),
         .MeanServiceTime = MeanServiceTime,
         .ResponseBytes = Reply.Response.Body.size()});
  }
  const int Status = Reply.Response.Status;
  if (Reply.Result == Outcome::Answered)
    Open.Response = std::move(Reply.Response);
  this->removeAttempt(Open, Known.Index);
  this->executeActions(Known.ParentCall,
                       Open.StateMachine->onReply(
                           Known.Index,
                           {.Result = Reply.Result,
                            .Status = Status,
                            .Reason = Reply.Reason,
                            .NoRetry = Reply.NoRetry,
                            .ReachedTarget = Reply.ReachedTarget,
                            .RetryAfter = microseconds(Reply.RetryAfterMicros)},
                           Task::now()));
}

void OutboundCalls::onCancelReply(const CancelReplyMessage &Reply) {
  const auto Found = this->Attempts.find(Reply.Number);
  if (Found == this->Attempts.end())
    return;
  const Attempt Known = Found->second;
  OutboundCall &StateMachine = *this->Calls.at(Known.ParentCall).StateMachine;
  this->executeActions(
      Known.ParentCall,
      StateMachine.onCancelReply(Known.Index, Reply.State, Task::now()));
}

void OutboundCalls::onAborted(ExchangeId Exchange) {
  const auto Found = this->CallsByExchange.find(Exchange);
  if (Found == this->CallsByExchange.end())
    return;
  const CallId Id = Found->second;
  this->NodeMetrics.add(Metric::Requests, "abandoned");
  this->executeActions(
      Id, this->Calls.at(Id).StateMachine->onCallerAborted(Task::now()));
}

void OutboundCalls::onStalled(const StalledConnection &Connection) {
  const char *Limit =
      Connection.Limit == StallLimit::Time ? "stall-time" : "max-held";
  this->NodeMetrics.add(Metric::StalledCallers, Limit);
  logEvent(LogLevel::Warning, "caller stalled",
           {{"peer", Connection.Peer.str()},
            {"limit", Limit},
            {"stalled_ms", toMilliseconds(Connection.StalledFor)},
            {"unread_bytes", Connection.UndeliveredBytes}});
}

void OutboundCalls::failOpenCalls(const std::string &Reason) {
  std::vector<CallId> Ids;
  for (const auto &[Id, Open] : this->Calls)
    Ids.push_back(Id);
  for (const CallId Id : Ids) {
    const auto Found = this->Calls.find(Id);
    if (Found != this->Calls.end())
      this->executeActions(Id, Found->second.StateMachine->onShutdown(Reason));
  }
}

void OutboundCalls::poll(TimePoint Now) {
  std::vector<CallId> Due;
  for (const auto &[Id, Open] : this->Calls)
    if (Now >= Open.StateMachine->nextTimer())
      Due.push_back(Id);
  for (const CallId Id : Due) {
    const auto Found = this->Calls.find(Id);
    if (Found != this->Calls.end())
      this->executeActions(Id, Found->second.StateMachine->onTimer(Now));
  }
  this->Peers.poll(Now);
  if (Now >= this->NextMetricsAt)
    this->publishMetrics(Now);
}

void OutboundCalls::publishMetrics(TimePoint Now) {
  this->NextMetricsAt = Now + MetricsPeriod;
  this->NodeMetrics.set(
      Metric::EjectedUpstreams, "",
      static_cast<double>(this->UpstreamRouter.ejectedCount(Now)));
  this->NodeMetrics.set(
      Metric::UnreadResponses, "",
      static_cast<double>(this->CallerServer.undeliveredCount()));
  for (const ByteHolder &Holder : this->Budget.holders())
    this->NodeMetrics.set(Metric::BufferedBytes, Holder.Name,
                          static_cast<double>(Holder.Count()));
  const auto Counts = this->UpstreamRouter.countByExclusion(Now);
  for (const Exclusion Cause :
       {Exclusion::ListedAsLeaving, Exclusion::AnnouncedState,
        Exclusion::ReportedState, Exclusion::Evacuated})
    this->NodeMetrics.set(
        Metric::ExcludedUpstreams, exclusionName(Cause),
        static_cast<double>(Counts.at(static_cast<size_t>(Cause))));
  for (const auto &[Service, Budget] : this->Budgets.all())
    this->NodeMetrics.set(Metric::RetryBudget, Service.str(), Budget.balance());
}

} // namespace bluebellbarrow
