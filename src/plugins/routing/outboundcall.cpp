#include "outboundcall.h"

#include <algorithm>

namespace bluebellbarrow {

namespace {

/** Time after the deadline for which the upstream node's reply is awaited. */
constexpr Duration ReplyGrace = milliseconds(60);

/** Time for which the outcome is queried after a connection broke. */
constexpr Duration ResolveTime = milliseconds(500);

/** Refusals by upstreams after which the call fails. */
constexpr int MaxRefusals = 4;

/** Concurrent attempts of one call, at most. */
constexpr size_t MaxOpenAttempts = 2;

/** Retry-After if no upstream gave one. */
constexpr Duration DefaultRetryAfter = milliseconds(200);

constexpr int FirstServerError = 500;

void append(OutboundCallActions &Actions, const OutboundCallActions &More) {
  Actions.insert(Actions.end(), More.begin(), More.end());
}

} // namespace

OutboundCall::OutboundCall(OutboundCallOptions Options, Router &UpstreamRouter,
                           RetryBudget &Budget)
    : Options(std::move(Options)), UpstreamRouter(UpstreamRouter),
      Budget(Budget), NextTimer(this->Options.Deadline + ReplyGrace) {}

OutboundCallActions OutboundCall::start(TimePoint Now) {
  this->Budget.onFirstAttempt(Now);
  return this->startNextAttempt(Now);
}

OutboundCall::OpenAttempt *OutboundCall::find(int Attempt) {
  const auto Found = std::find_if(
      this->OpenAttempts.begin(), this->OpenAttempts.end(),
      [Attempt](const OpenAttempt &Open) { return Open.Attempt == Attempt; });
  return this->Done || Found == this->OpenAttempts.end() ? nullptr : &*Found;
}

void OutboundCall::updateTimer() {
  this->NextTimer = this->Options.Deadline + ReplyGrace;
  for (const OpenAttempt &Open : this->OpenAttempts)
    if (Open.ResolveUntil)
      this->NextTimer = std::min(this->NextTimer, *Open.ResolveUntil);
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
                this->TriedUpstreams, Now)
          : this->UpstreamRouter.ownerOf(*this->Options.Service,
                                         this->Options.IdempotencyKey);
  if (Next == nullptr && !this->OpenAttempts.empty())
    return {};
  if (Next == nullptr)
    return this->fail(this->MayHaveRun ? Outcome::Unknown : Outcome::NotRun,
                      "no upstream takes work", false);
  this->TriedUpstreams.push_back(Next->id());
  this->LastAttempt += 1;
  this->OpenAttempts.push_back({.Attempt = this->LastAttempt,
                                .Upstream = *Next,
                                .ResolveUntil = std::nullopt});
  this->UpstreamRouter.onSent(Next->id(), Now);
  return {StartAttempt{.Attempt = this->LastAttempt, .Upstream = *Next}};
}

void OutboundCall::endAttempt(int Attempt, AttemptResult Result,
                              TimePoint Now) {
  const OpenAttempt *Ended = this->find(Attempt);
  this->UpstreamRouter.onAttemptEnd(Ended->Upstream.id(), Result, Now);
  const bool ReachedTarget = Result != AttemptResult::RefusedByNode &&
                             Result != AttemptResult::Unreachable;
  this->AttemptsAtTarget += ReachedTarget ? 1 : 0;
  std::erase_if(this->OpenAttempts, [Attempt](const OpenAttempt &Open) {
    return Open.Attempt == Attempt;
  });
  this->updateTimer();
}

OutboundCallActions OutboundCall::fail(Outcome Result,
                                       const std::string &Reason,
                                       bool DeadlineExceeded) {
  this->Done = true;
  return {FailCall{.Result = Result,
                   .Reason = Reason,
                   .DeadlineExceeded = DeadlineExceeded,
                   .RetryAfter = this->RetryAfter.value_or(DefaultRetryAfter)}};
}

OutboundCallActions OutboundCall::cancelAll(TimePoint Now,
                                            AttemptResult Result) {
  OutboundCallActions Actions;
  while (!this->OpenAttempts.empty()) {
    const OpenAttempt Open = this->OpenAttempts.front();
    Actions.emplace_back(CancelAttempt{.Attempt = Open.Attempt,
                                       .Upstream = Open.Upstream,
                                       .StopIfRunning = true});
    this->endAttempt(Open.Attempt, Result, Now);
  }
  return Actions;
}

bool OutboundCall::mayRetry(TimePoint Now) const {
  const auto Attempts =
      this->AttemptsAtTarget + static_cast<int64_t>(this->OpenAttempts.size());
  return this->Options.IdempotencyKey.empty() &&
         Attempts <= this->Options.RoutePolicy->Retries &&
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
  const bool SafeToRetry =
      Result == Outcome::NotRun || this->Options.RoutePolicy->Idempotent;
  if (SafeToRetry && !NoRetry && this->mayRetry(Now) &&
      this->Budget.tryWithdraw(Now))
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
  OpenAttempt *Broken = this->find(Attempt);
  if (Broken == nullptr)
    return {};
  if (Broken->ResolveUntil || this->Options.RoutePolicy->Idempotent) {
    this->endAttempt(Attempt, AttemptResult::Failed, Now);
    return this->retryOrFail(Outcome::Unknown, "connection to upstream broke",
                             false, Now);
  }
  Broken->ResolveUntil = Now + ResolveTime;
  this->updateTimer();
  return {CancelAttempt{.Attempt = Attempt,
                        .Upstream = Broken->Upstream,
                        .StopIfRunning = false}};
}

OutboundCallActions OutboundCall::onCancelReply(int Attempt, CancelState State,
                                                TimePoint Now) {
  OpenAttempt *Cancelled = this->find(Attempt);
  if (Cancelled == nullptr)
    return {};
  switch (State) {
  case CancelState::NotRun:
    this->endAttempt(Attempt, AttemptResult::RefusedByNode, Now);
    return this->tryAnotherUpstream(
        {.Result = Outcome::NotRun, .Reason = "cancelled"}, Now);
  case CancelState::Running:
    Cancelled->ResolveUntil.reset();
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
      this->OpenAttempts.size() < MaxOpenAttempts && this->mayRetry(Now);
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
  for (const OpenAttempt &Open : this->OpenAttempts) {
    if (!Open.ResolveUntil || Now < *Open.ResolveUntil)
      continue;
    OutboundCallActions Actions = {CancelAttempt{.Attempt = Open.Attempt,
                                                 .Upstream = Open.Upstream,
                                                 .StopIfRunning = true}};
    this->endAttempt(Open.Attempt, AttemptResult::Failed, Now);
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
  const bool NothingRan = this->OpenAttempts.empty() && !this->MayHaveRun;
  return this->fail(NothingRan ? Outcome::NotRun : Outcome::Unknown, Reason,
                    false);
}

OutboundCallActions OutboundCall::onCallerAborted(TimePoint Now) {
  if (this->Done)
    return {};
  OutboundCallActions Actions = this->cancelAll(Now, AttemptResult::Abandoned);
  this->Done = true;
  return Actions;
}

} // namespace bluebellbarrow
