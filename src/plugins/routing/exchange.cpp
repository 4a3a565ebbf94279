#include "exchange.h"

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

void append(ExchangeActions &Target, const ExchangeActions &More) {
  Target.insert(Target.end(), More.begin(), More.end());
}

} // namespace

Exchange::Exchange(ExchangeOptions NewOptions, Router &Routes,
                   RetryBudget &Budget)
    : Options(std::move(NewOptions)), Routes(Routes), Budget(Budget),
      NextDeadline(this->Options.Deadline + ReplyGrace) {}

ExchangeActions Exchange::start(TimePoint Now) {
  this->Budget.onFirstAttempt(Now);
  return this->tryNext(Now);
}

Exchange::Open *Exchange::find(int Attempt) {
  const auto Found = std::find_if(
      this->Active.begin(), this->Active.end(),
      [Attempt](const Open &Each) { return Each.Attempt == Attempt; });
  return this->Done || Found == this->Active.end() ? nullptr : &*Found;
}

void Exchange::updateDeadline() {
  this->NextDeadline = this->Options.Deadline + ReplyGrace;
  for (const Open &Each : this->Active)
    if (Each.ResolveUntil)
      this->NextDeadline = std::min(this->NextDeadline, *Each.ResolveUntil);
}

ExchangeActions Exchange::tryNext(TimePoint Now) {
  const Vm *Next = this->Options.IdempotencyKey.empty()
                       ? this->Routes.pick({.Service = this->Options.Service,
                                            .Rules = this->Options.Rules,
                                            .Route = this->Options.Route,
                                            .Aim = this->Options.Aim,
                                            .Deadline = this->Options.Deadline,
                                            .Bytes = this->Options.Bytes},
                                           this->Tried, Now)
                       : this->Routes.ownerOf(*this->Options.Service,
                                              this->Options.IdempotencyKey);
  if (Next == nullptr && !this->Active.empty())
    return {};
  if (Next == nullptr)
    return this->fail(this->MayHaveRun ? Outcome::Unknown : Outcome::NotRun,
                      "no upstream takes work", false);
  this->Tried.push_back(Next->id());
  this->LastAttempt += 1;
  this->Active.push_back({.Attempt = this->LastAttempt,
                          .Upstream = *Next,
                          .ResolveUntil = std::nullopt});
  this->Routes.onSent(Next->id(), Now);
  return {StartAttempt{.Attempt = this->LastAttempt, .Upstream = *Next}};
}

void Exchange::endAttempt(int Attempt, AttemptEnd How, TimePoint Now) {
  const Open *Ended = this->find(Attempt);
  this->Routes.onEnd(Ended->Upstream.id(), How, Now);
  const bool Arrived =
      How != AttemptEnd::Refused && How != AttemptEnd::Unreachable;
  this->Arrivals += Arrived ? 1 : 0;
  std::erase_if(this->Active, [Attempt](const Open &Each) {
    return Each.Attempt == Attempt;
  });
  this->updateDeadline();
}

ExchangeActions Exchange::fail(Outcome Result, const std::string &Reason,
                               bool Late) {
  this->Done = true;
  return {FailCall{.Result = Result,
                   .Reason = Reason,
                   .Late = Late,
                   .RetryAfter = this->RetryAfter.value_or(DefaultRetryAfter)}};
}

ExchangeActions Exchange::stopAll(TimePoint Now, AttemptEnd End) {
  ExchangeActions Actions;
  while (!this->Active.empty()) {
    const Open Stopped = this->Active.front();
    Actions.emplace_back(CancelAttempt{.Attempt = Stopped.Attempt,
                                       .Upstream = Stopped.Upstream,
                                       .Stop = true});
    this->endAttempt(Stopped.Attempt, End, Now);
  }
  return Actions;
}

bool Exchange::mayTryAgain(TimePoint Now) const {
  const auto Arrived =
      this->Arrivals + static_cast<int64_t>(this->Active.size());
  return this->Options.IdempotencyKey.empty() &&
         Arrived <= this->Options.Rules->Retries &&
         Now < this->Options.Deadline;
}

ExchangeActions Exchange::placeElsewhere(const AttemptReply &Reply,
                                         TimePoint Now) {
  this->Refusals += 1;
  if (Reply.RetryAfter > Duration::zero())
    this->RetryAfter =
        std::min(this->RetryAfter.value_or(Reply.RetryAfter), Reply.RetryAfter);
  if (!this->Active.empty())
    return {};
  const bool Allowed = !Reply.NoRetry && this->Refusals < MaxRefusals &&
                       this->Options.IdempotencyKey.empty() &&
                       Now < this->Options.Deadline;
  if (Allowed)
    return this->tryNext(Now);
  return this->fail(this->MayHaveRun ? Outcome::Unknown : Outcome::NotRun,
                    Reply.Reason, Now >= this->Options.Deadline);
}

ExchangeActions Exchange::retryOrFail(Outcome Result, const std::string &Reason,
                                      bool NoRetry, TimePoint Now) {
  if (Result == Outcome::Unknown)
    this->MayHaveRun = true;
  if (!this->Active.empty())
    return {};
  const bool Safe =
      Result == Outcome::NotRun || this->Options.Rules->Idempotent;
  if (Safe && !NoRetry && this->mayTryAgain(Now) &&
      this->Budget.tryWithdraw(Now))
    return this->tryNext(Now);
  return this->fail(this->MayHaveRun ? Outcome::Unknown : Result, Reason,
                    Now >= this->Options.Deadline);
}

ExchangeActions Exchange::onReply(int Attempt, const AttemptReply &Reply,
                                  TimePoint Now) {
  if (this->find(Attempt) == nullptr)
    return {};
  if (Reply.Result == Outcome::Answered) {
    this->endAttempt(Attempt,
                     Reply.Status >= FirstServerError ? AttemptEnd::Failed
                                                      : AttemptEnd::Good,
                     Now);
    ExchangeActions Actions = {ForwardAnswer{Attempt}};
    append(Actions, this->stopAll(Now, AttemptEnd::Abandoned));
    this->Done = true;
    return Actions;
  }
  if (Reply.Result == Outcome::NotRun && !Reply.ReachedTarget) {
    this->endAttempt(Attempt, AttemptEnd::Refused, Now);
    return this->placeElsewhere(Reply, Now);
  }
  this->endAttempt(Attempt,
                   Reply.Result == Outcome::NotRun ? AttemptEnd::Shed
                                                   : AttemptEnd::Failed,
                   Now);
  return this->retryOrFail(Reply.Result, Reply.Reason, Reply.NoRetry, Now);
}

ExchangeActions Exchange::onNotSent(int Attempt, TimePoint Now) {
  if (this->find(Attempt) == nullptr)
    return {};
  this->endAttempt(Attempt, AttemptEnd::Unreachable, Now);
  return this->placeElsewhere(
      {.Result = Outcome::NotRun, .Reason = "upstream can't be reached"}, Now);
}

ExchangeActions Exchange::onLost(int Attempt, TimePoint Now) {
  Open *Lost = this->find(Attempt);
  if (Lost == nullptr)
    return {};
  if (Lost->ResolveUntil || this->Options.Rules->Idempotent) {
    this->endAttempt(Attempt, AttemptEnd::Failed, Now);
    return this->retryOrFail(Outcome::Unknown, "connection to upstream broke",
                             false, Now);
  }
  Lost->ResolveUntil = Now + ResolveTime;
  this->updateDeadline();
  return {CancelAttempt{
      .Attempt = Attempt, .Upstream = Lost->Upstream, .Stop = false}};
}

ExchangeActions Exchange::onCancelReply(int Attempt, CancelState State,
                                        TimePoint Now) {
  Open *Asked = this->find(Attempt);
  if (Asked == nullptr)
    return {};
  switch (State) {
  case CancelState::NotRun:
    this->endAttempt(Attempt, AttemptEnd::Refused, Now);
    return this->placeElsewhere(
        {.Result = Outcome::NotRun, .Reason = "cancelled"}, Now);
  case CancelState::Running:
    Asked->ResolveUntil.reset();
    this->updateDeadline();
    return {};
  case CancelState::Finished:
    this->endAttempt(Attempt, AttemptEnd::Failed, Now);
    return this->retryOrFail(Outcome::Unknown, "the answer was lost", false,
                             Now);
  case CancelState::OtherLife:
    this->endAttempt(Attempt, AttemptEnd::Failed, Now);
    return this->retryOrFail(Outcome::Unknown, "upstream's node restarted",
                             false, Now);
  }
  return {};
}

ExchangeActions Exchange::onOverdue(int Attempt, TimePoint Now) {
  const bool Allowed = this->find(Attempt) != nullptr &&
                       this->Options.Rules->Idempotent &&
                       this->Active.size() < MaxOpen && this->mayTryAgain(Now);
  if (!Allowed || !this->Budget.tryWithdraw(Now))
    return {};
  return this->tryNext(Now);
}

ExchangeActions Exchange::onTime(TimePoint Now) {
  if (this->Done || Now < this->NextDeadline)
    return {};
  if (Now >= this->Options.Deadline + ReplyGrace) {
    ExchangeActions Actions = this->stopAll(Now, AttemptEnd::Failed);
    append(Actions,
           this->fail(Outcome::Unknown, "no answer within the deadline", true));
    return Actions;
  }
  for (const Open &Each : this->Active) {
    if (!Each.ResolveUntil || Now < *Each.ResolveUntil)
      continue;
    ExchangeActions Actions = {CancelAttempt{
        .Attempt = Each.Attempt, .Upstream = Each.Upstream, .Stop = true}};
    this->endAttempt(Each.Attempt, AttemptEnd::Failed, Now);
    append(Actions,
           this->retryOrFail(Outcome::Unknown, "connection to upstream broke",
                             false, Now));
    return Actions;
  }
  return {};
}

ExchangeActions Exchange::onStopped(const std::string &Reason) {
  if (this->Done)
    return {};
  const bool Quiet = this->Active.empty() && !this->MayHaveRun;
  return this->fail(Quiet ? Outcome::NotRun : Outcome::Unknown, Reason, false);
}

ExchangeActions Exchange::onAborted(TimePoint Now) {
  if (this->Done)
    return {};
  ExchangeActions Actions = this->stopAll(Now, AttemptEnd::Abandoned);
  this->Done = true;
  return Actions;
}

} // namespace bluebellbarrow
