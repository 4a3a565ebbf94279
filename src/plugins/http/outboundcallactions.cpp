#include "callstatus.h"
#include "inboundcalls.h"
#include "kernel/log.h"
#include "outboundcalls.h"
#include "plugins/metrics/metrics.h"

#include <algorithm>

namespace bluebellbarrow {

namespace {

uint64_t microsecondsUntil(TimePoint Time, TimePoint Now) {
  return static_cast<uint64_t>(
      std::max<int64_t>(0, toMicroseconds(Time - Now)));
}

} // namespace

void OutboundCalls::executeActions(CallId Id,
                                   const OutboundCallActions &Actions) {
  for (const OutboundCallAction &Step : Actions)
    std::visit(
        [this, Id](const auto &Action) { this->executeAction(Id, Action); },
        Step);
  const auto Found = this->Calls.find(Id);
  if (Found == this->Calls.end() || !Found->second.StateMachine->done())
    return;
  while (!Found->second.RequestNumbers.empty())
    this->removeAttempt(Found->second,
                        Found->second.RequestNumbers.begin()->first);
  this->Link.release(Found->second.ReservedBytes);
  this->CallsByExchange.erase(Found->second.HttpExchange);
  this->Calls.erase(Found);
}

void OutboundCalls::removeAttempt(Call &Open, int Index) {
  const auto Found = Open.RequestNumbers.find(Index);
  if (Found == Open.RequestNumbers.end())
    return;
  this->Peers.removeRequest(Found->second);
  this->Attempts.erase(Found->second);
  Open.RequestNumbers.erase(Found);
}

void OutboundCalls::executeAction(CallId Id, const StartAttempt &Action) {
  const TimePoint Now = Task::now();
  Call &Open = this->Calls.at(Id);
  const RequestNumber Number(++this->LastRequestNumber);
  Open.RequestNumbers[Action.Attempt] = Number;
  this->Attempts[Number] = {
      .ParentCall = Id, .Index = Action.Attempt, .Upstream = Action.Upstream};
  Open.Upstream = Action.Upstream;
  Open.Message.Number = Number;
  Open.Message.ExpectedTarget = Action.Upstream.Target;
  Open.Message.ExpectedTargetStartUnixMillis =
      Action.Upstream.TargetStartUnixMillis;
  Open.Message.RemainingMicros = microsecondsUntil(Open.Deadline, Now);
  Open.Message.SoftDeadlineRemainingMicros =
      microsecondsUntil(Open.SoftDeadline, Now);
  this->NodeMetrics.add(Metric::Attempts,
                        Action.Attempt == 1 ? "first" : "retry");
  if (Action.Upstream.Name != this->Self.Name) {
    this->Peers.sendRequest(Action.Upstream, Open.Message, Now);
    return;
  }
  const RequestKey Key{.Origin = this->Self.Name,
                       .OriginIncarnation = this->Self.Incarnation,
                       .Number = Number};
  this->Owner.post([this, Key, Message = Open.Message] {
    this->Inbound.handleRequest(
        Key, Message,
        {.Reply =
             [this](ReplyMessage Reply) {
               this->UpstreamRouter.onLoad(this->Self.Name, Reply.Load,
                                           Task::now());
               this->onReply(std::move(Reply));
             },
         .Overdue =
             [this, Number = Key.Number] {
               this->onAttemptEvent(Number, &OutboundCall::onOverdue);
             }});
  });
}

void OutboundCalls::executeAction(CallId Id, const CancelAttempt &Action) {
  Call &Open = this->Calls.at(Id);
  const auto Known = Open.RequestNumbers.find(Action.Attempt);
  if (Known == Open.RequestNumbers.end())
    return;
  const RequestNumber Number = Known->second;
  if (Action.Upstream.Name != this->Self.Name) {
    this->Peers.sendCancel(Action.Upstream, Number, Action.StopIfRunning,
                           Task::now());
  } else {
    const RequestKey Key{.Origin = this->Self.Name,
                         .OriginIncarnation = this->Self.Incarnation,
                         .Number = Number};
    this->Owner.post([this, Key, Stop = Action.StopIfRunning] {
      this->Inbound.cancel(Key, Stop, InboundCallEvents());
    });
  }
  if (Action.StopIfRunning)
    this->removeAttempt(Open, Action.Attempt);
}

void OutboundCalls::executeAction(CallId Id, const ForwardResponse &) {
  Call &Open = this->Calls.at(Id);
  this->logCompletion(Open, "answered", Open.Response.Status, "");
  this->respond(Open.HttpExchange, std::move(Open.Response), "answered");
}

void OutboundCalls::executeAction(CallId Id, const FailCall &Action) {
  const Call &Open = this->Calls.at(Id);
  const bool NotRun = Action.Result == Outcome::NotRun;
  const char *OutcomeName = NotRun ? "not-run" : "unknown";
  int Status = NotRun ? StatusNotRun : StatusOutcomeUnknown;
  if (Action.DeadlineExceeded && !NotRun)
    Status = StatusDeadlineExceeded;
  this->logCompletion(Open, OutcomeName, Status, Action.Reason);
  HttpResponse Response =
      this->Codec.makeErrorResponse(Status, OutcomeName, Action.Reason);
  if (NotRun)
    this->RetryJitter.addHeader(Response, Action.RetryAfter);
  this->respond(Open.HttpExchange, std::move(Response), OutcomeName);
}

void OutboundCalls::logCompletion(const Call &Completed,
                                  const char *OutcomeName, int Status,
                                  const std::string &Reason) const {
  const TimePoint Now = Task::now();
  this->NodeMetrics.observe(Metric::RequestTime, OutcomeName,
                            Now - Completed.StartedAt);
  // A LogField does not own its text, so Version has to outlive Fields.
  const std::string Version = this->CurrentSnapshot->Version.text();
  const std::initializer_list<LogField> Fields = {
      {"request", this->Codec.requestId(Completed.Message.Request)},
      {"service", Completed.Message.Service.str()},
      {"route", Completed.Message.Route.str()},
      {"upstream", Completed.Upstream.Name.str()},
      {"target", Completed.Upstream.Target.str()},
      {"attempts", Completed.StateMachine->attempts()},
      {"outcome", OutcomeName},
      {"status", Status},
      {"reason", Reason},
      {"took_us", toMicroseconds(Now - Completed.StartedAt)},
      {"left_ms", toMilliseconds(Completed.Deadline - Now)},
      {"version", Version}};
  if (Reason.empty())
    logSampledEvent("call answered", Fields);
  else
    logEvent(LogLevel::Info, "call failed", Fields);
}

} // namespace bluebellbarrow
