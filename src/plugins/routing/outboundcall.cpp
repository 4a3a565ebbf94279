#include "outboundcall.h"

#include <algorithm>

namespace bluebellbarrow {

namespace {

/** Time after the deadline in which the upstream's own answer may still come.
 */
constexpr Duration ReplyGrace = milliseconds(60);

/** Time for which the end of a broken attempt is asked for. */
constexpr Duration ResolveTime = milliseconds(500);

/** Upstreams that may refuse a request before its caller is refused. */
constexpr int MaxRefusals = 4;

/** Attempts of one call that may be open at once. */
constexpr size_t MaxOpen = 2;

/** Time to come back when no upstream said one. */
constexpr Duration DefaultRetryAfter = milliseconds(200);

constexpr int FirstServerError = 500;

void append(OutboundCallActions &Target, const OutboundCallActions &More) {
  Target.insert(Target.end(), More.begin(), More.end());
}

} // namespace

OutboundCall::OutboundCall(OutboundCallOptions NewOptions, Router &Routes,
                           RetryBudget &Budget)
    : Options(std::move(NewOptions)), UpstreamRouter(Routes), Budget(Budget),
      NextTimer(this->Options.Deadline + ReplyGrace) {}

OutboundCallActions OutboundCall::start(TimePoint Now) {
  this->Budget.onFirstAttempt(Now);
  return this->startNextAttempt(Now);
}

OutboundCall::OpenAttempt *OutboundCall::find(int Attempt) {
  const auto Found = std::find_if(
      this->OpenAttempts.begin(), this->OpenAttempts.end(),
      [Attempt](const OpenAttempt &Each) { return Each.Attempt == Attempt; });
  return this->Done || Found == this->OpenAttempts.end() ? nullptr : &*Found;
}

void OutboundCall::updateTimer() {
  this->NextTimer = this->Options.Deadline + ReplyGrace;
  for (const OpenAttempt &Each : this->OpenAttempts)
    if (Each.ResolveUntil)
      this->NextTimer = std::min(this->NextTimer, *Each.ResolveUntil);
}

OutboundCallActions OutboundCall::startNextAttempt(TimePoint Now) {
  const Vm *Next =
      this->Options.IdempotencyKey.empty()
          ? this->UpstreamRouter.pick(
                {.Service = this->Options.Service,
                 .RoutePolicy = this->Options.RoutePolicy,
                 .Route = this->Options.Route,
                 .SoftDeadline = this->Options.SoftDeadline,
                 .Deadline = this->Options.Deadline,
                 .BodyBytes = this->Options.BodyBytes},
                this->Tried, Now)
          : this->UpstreamRouter.ownerOf(*this->Options.Service,
                                         this->Options.IdempotencyKey);
  if (Next == nullptr && !this->OpenAttempts.empty())
    return {};
  if (Next == nullptr)
    return this->fail(this->MayHaveRun ? Outcome::Unknown : Outcome::NotRun,
                      "no upstream takes work", false);
  this->Tried.push_back(Next->id());
  this->LastAttempt += 1;
  this->OpenAttempts.push_back({.Attempt = this->LastAttempt,
                                .Upstream = *Next,
                                .ResolveUntil = std::nullopt});
  this->UpstreamRouter.onSent(Next->id(), Now);
  return {StartAttempt{.Attempt = this->LastAttempt, .Upstream = *Next}};
}

void OutboundCall::endAttempt(int Attempt, AttemptResult How, TimePoint Now) {
  const OpenAttempt *Ended = this->find(Attempt);
  this->UpstreamRouter.onAttemptEnd(Ended->Upstream.id(), How, Now);
  const bool Arrived =
      How != AttemptResult::RefusedByNode && How != AttemptResult::Unreachable;
  this->AttemptsAtTarget += Arrived ? 1 : 0;
  std::erase_if(this->OpenAttempts, [Attempt](const OpenAttempt &Each) {
    return Each.Attempt == Attempt;
  });
  this->updateTimer();
}

OutboundCallActions OutboundCall::fail(Outcome Result,
                                       const std::string &Reason, bool Late) {
  this->Done = true;
  return {FailCall{.Result = Result,
                   .Reason = Reason,
                   .DeadlineExceeded = Late,
                   .RetryAfter = this->RetryAfter.value_or(DefaultRetryAfter)}};
}

OutboundCallActions OutboundCall::cancelAll(TimePoint Now, AttemptResult End) {
  OutboundCallActions Actions;
  while (!this->OpenAttempts.empty()) {
    const OpenAttempt Stopped = this->OpenAttempts.front();
    Actions.emplace_back(CancelAttempt{.Attempt = Stopped.Attempt,
                                       .Upstream = Stopped.Upstream,
                                       .StopIfRunning = true});
    this->endAttempt(Stopped.Attempt, End, Now);
  }
  return Actions;
}

bool OutboundCall::mayRetry(TimePoint Now) const {
  const auto Arrived =
      this->AttemptsAtTarget + static_cast<int64_t>(this->OpenAttempts.size());
  return this->Options.IdempotencyKey.empty() &&
         Arrived <= this->Options.RoutePolicy->Retries &&
         Now < this->Options.Deadline;
}

OutboundCallActions OutboundCall::tryAnotherUpstream(const AttemptReply &Reply,
                                                     TimePoint Now) {
  this->Refusals += 1;
  if (Reply.RetryAfter > Duration::zero())
    this->RetryAfter =
        std::min(this->RetryAfter.value_or(Reply.RetryAfter), Reply.RetryAfter);
  if (!this->OpenAttempts.empty())
    return {};
  const bool Allowed = !Reply.NoRetry && this->Refusals < MaxRefusals &&
                       this->Options.IdempotencyKey.empty() &&
                       Now < this->Options.Deadline;
  if (Allowed)
    return this->startNextAttempt(Now);
  return this->fail(this->MayHaveRun ? Outcome::Unknown : Outcome::NotRun,
                    Reply.Reason, Now >= this->Options.Deadline);
}

OutboundCallActions OutboundCall::retryOrFail(Outcome Result,
                                              const std::string &Reason,
                                              bool NoRetry, TimePoint Now) {
  if (Result == Outcome::Unknown)
    this->MayHaveRun = true;
  if (!this->OpenAttempts.empty())
    return {};
  const bool Safe =
      Result == Outcome::NotRun || this->Options.RoutePolicy->Idempotent;
  if (Safe && !NoRetry && this->mayRetry(Now) && this->Budget.tryWithdraw(Now))
    return this->startNextAttempt(Now);
  return this->fail(this->MayHaveRun ? Outcome::Unknown : Result, Reason,
                    Now >= this->Options.Deadline);
}

OutboundCallActions
OutboundCall::onReply(int Attempt, const AttemptReply &Reply, TimePoint Now) {
  if (this->find(Attempt) == nullptr)
    return {};
  if (Reply.Result == Outcome::Answered) {
    this->endAttempt(Attempt,
                     Reply.Status >= FirstServerError
                         ? AttemptResult::Failed
                         : AttemptResult::Succeeded,
                     Now);
    OutboundCallActions Actions = {ForwardResponse{Attempt}};
    append(Actions, this->cancelAll(Now, AttemptResult::Abandoned));
    this->Done = true;
    return Actions;
  }
  if (Reply.Result == Outcome::NotRun && !Reply.ReachedTarget) {
    this->endAttempt(Attempt, AttemptResult::RefusedByNode, Now);
    return this->tryAnotherUpstream(Reply, Now);
  }
  this->endAttempt(Attempt,
                   Reply.Result == Outcome::NotRun
                       ? AttemptResult::RefusedByTarget
                       : AttemptResult::Failed,
                   Now);
  return this->retryOrFail(Reply.Result, Reply.Reason, Reply.NoRetry, Now);
}

OutboundCallActions OutboundCall::onNotSent(int Attempt, TimePoint Now) {
  if (this->find(Attempt) == nullptr)
    return {};
  this->endAttempt(Attempt, AttemptResult::Unreachable, Now);
  return this->tryAnotherUpstream(
      {.Result = Outcome::NotRun, .Reason = "upstream can't be reached"}, Now);
}

OutboundCallActions OutboundCall::onConnectionLost(int Attempt, TimePoint Now) {
  OpenAttempt *Lost = this->find(Attempt);
  if (Lost == nullptr)
    return {};
  if (Lost->ResolveUntil || this->Options.RoutePolicy->Idempotent) {
    this->endAttempt(Attempt, AttemptResult::Failed, Now);
    return this->retryOrFail(Outcome::Unknown, "connection to upstream broke",
                             false, Now);
  }
  Lost->ResolveUntil = Now + ResolveTime;
  this->updateTimer();
  return {CancelAttempt{
      .Attempt = Attempt, .Upstream = Lost->Upstream, .StopIfRunning = false}};
}

OutboundCallActions OutboundCall::onCancelReply(int Attempt, CancelState State,
                                                TimePoint Now) {
  OpenAttempt *Asked = this->find(Attempt);
  if (Asked == nullptr)
    return {};
  switch (State) {
  case CancelState::NotRun:
    this->endAttempt(Attempt, AttemptResult::RefusedByNode, Now);
    return this->tryAnotherUpstream(
        {.Result = Outcome::NotRun, .Reason = "cancelled"}, Now);
  case CancelState::Running:
    Asked->ResolveUntil.reset();
    this->updateTimer();
    return {};
  case CancelState::Finished:
    this->endAttempt(Attempt, AttemptResult::Failed, Now);
    return this->retryOrFail(Outcome::Unknown, "the answer was lost", false,
                             Now);
  case CancelState::OtherIncarnation:
    this->endAttempt(Attempt, AttemptResult::Failed, Now);
    return this->retryOrFail(Outcome::Unknown, "upstream's node restarted",
                             false, Now);
  }
  return {};
}

OutboundCallActions OutboundCall::onOverdue(int Attempt, TimePoint Now) {
  const bool Allowed =
      this->find(Attempt) != nullptr && this->Options.RoutePolicy->Idempotent &&
      this->OpenAttempts.size() < MaxOpen && this->mayRetry(Now);
  if (!Allowed || !this->Budget.tryWithdraw(Now))
    return {};
  return this->startNextAttempt(Now);
}

OutboundCallActions OutboundCall::onTimer(TimePoint Now) {
  if (this->Done || Now < this->NextTimer)
    return {};
  if (Now >= this->Options.Deadline + ReplyGrace) {
    OutboundCallActions Actions = this->cancelAll(Now, AttemptResult::Failed);
    append(Actions,
           this->fail(Outcome::Unknown, "no answer within the deadline", true));
    return Actions;
  }
  for (const OpenAttempt &Each : this->OpenAttempts) {
    if (!Each.ResolveUntil || Now < *Each.ResolveUntil)
      continue;
    OutboundCallActions Actions = {CancelAttempt{.Attempt = Each.Attempt,
                                                 .Upstream = Each.Upstream,
                                                 .StopIfRunning = true}};
    this->endAttempt(Each.Attempt, AttemptResult::Failed, Now);
    append(Actions,
           this->retryOrFail(Outcome::Unknown, "connection to upstream broke",
                             false, Now));
    return Actions;
  }
  return {};
}

OutboundCallActions OutboundCall::onShutdown(const std::string &Reason) {
  if (this->Done)
    return {};
  const bool Quiet = this->OpenAttempts.empty() && !this->MayHaveRun;
  return this->fail(Quiet ? Outcome::NotRun : Outcome::Unknown, Reason, false);
}

OutboundCallActions OutboundCall::onCallerAborted(TimePoint Now) {
  if (this->Done)
    return {};
  OutboundCallActions Actions = this->cancelAll(Now, AttemptResult::Abandoned);
  this->Done = true;
  return Actions;
}

} // namespace bluebellbarrow
