#include "exchange.h"

#include <algorithm>

namespace bluebellbarrow {

namespace {

/** Time after the deadline in which the upstream's own answer may still come.
 */
constexpr Duration ReplyGrace = milliseconds(20);

/** Time for which the end of a broken attempt is asked for. */
constexpr Duration ResolveTime = milliseconds(500);

/** Shortest time that an idempotent attempt gets before the next one. */
constexpr Duration MinAttemptTime = milliseconds(50);

/** Usual runs after which an idempotent attempt counts as lost. */
constexpr int OverdueRuns = 4;

/** Upstreams that may refuse a request before its caller is refused. */
constexpr int MaxRefusals = 4;

/** Time to come back when no upstream said one. */
constexpr Duration DefaultRetryAfter = milliseconds(200);

constexpr int FirstServerError = 500;

} // namespace

ExchangeActions Exchange::start(TimePoint Now) {
  this->Budget.onFirstAttempt(Now);
  return this->tryNext(Now);
}

bool Exchange::isCurrent(int Attempt) const {
  return !this->Done && this->Current && Attempt == this->LastAttempt;
}

TimePoint Exchange::attemptDeadline(TimePoint Now) const {
  const TimePoint Last = this->Options.Deadline + ReplyGrace;
  const Policy &Rules = *this->Options.Rules;
  const bool MayRetry = Rules.Idempotent && this->Arrivals < Rules.Retries &&
                        this->Options.IdempotencyKey.empty();
  if (!MayRetry)
    return Last;
  const Duration Share =
      (this->Options.Deadline - Now) / (Rules.Retries - this->Arrivals + 1);
  const Duration Usual =
      OverdueRuns * this->Routes.usualRun(this->Options.Route);
  return std::min(Last, Now + std::max({Share, Usual, MinAttemptTime}));
}

ExchangeActions Exchange::tryNext(TimePoint Now) {
  const Vm *Next =
      this->Options.IdempotencyKey.empty()
          ? this->Routes.pick(*this->Options.Service, this->Options.Route,
                              *this->Options.Rules, this->Tried, Now)
          : Router::ownerOf(*this->Options.Service,
                            this->Options.IdempotencyKey);
  if (Next == nullptr)
    return this->fail(this->MayHaveRun ? Outcome::Unknown : Outcome::NotRun,
                      "no upstream takes work", false);
  this->Current = *Next;
  this->Tried.push_back(Next->id());
  this->LastAttempt += 1;
  this->Resolving = false;
  this->NextDeadline = this->attemptDeadline(Now);
  this->Routes.onSent(Next->id(), Now);
  return {StartAttempt{.Attempt = this->LastAttempt, .Upstream = *Next}};
}

void Exchange::endAttempt(AttemptEnd End, TimePoint Now) {
  this->Routes.onEnd(this->Current->id(), End, Now);
  this->Current.reset();
  const bool Arrived =
      End != AttemptEnd::Refused && End != AttemptEnd::Unreachable;
  this->Arrivals += Arrived ? 1 : 0;
}

ExchangeActions Exchange::fail(Outcome Result, const std::string &Reason,
                               bool Late) {
  this->Done = true;
  return {FailCall{.Result = Result,
                   .Reason = Reason,
                   .Late = Late,
                   .RetryAfter = this->RetryAfter.value_or(DefaultRetryAfter)}};
}

ExchangeActions Exchange::placeElsewhere(const AttemptReply &Reply,
                                         TimePoint Now) {
  this->Refusals += 1;
  if (Reply.RetryAfter > Duration::zero())
    this->RetryAfter =
        std::min(this->RetryAfter.value_or(Reply.RetryAfter), Reply.RetryAfter);
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
  const bool Safe =
      Result == Outcome::NotRun || this->Options.Rules->Idempotent;
  const bool Allowed = Safe && !NoRetry &&
                       this->Options.IdempotencyKey.empty() &&
                       this->Arrivals <= this->Options.Rules->Retries &&
                       Now < this->Options.Deadline;
  if (Allowed && this->Budget.tryWithdraw(Now))
    return this->tryNext(Now);
  return this->fail(this->MayHaveRun ? Outcome::Unknown : Result, Reason,
                    Now >= this->Options.Deadline);
}

ExchangeActions Exchange::onReply(int Attempt, const AttemptReply &Reply,
                                  TimePoint Now) {
  if (!this->isCurrent(Attempt))
    return {};
  if (Reply.Result == Outcome::Answered) {
    this->endAttempt(Reply.Status >= FirstServerError ? AttemptEnd::Failed
                                                      : AttemptEnd::Good,
                     Now);
    this->Done = true;
    return {ForwardAnswer{Attempt}};
  }
  if (Reply.Result == Outcome::NotRun && !Reply.ReachedTarget) {
    this->endAttempt(AttemptEnd::Refused, Now);
    return this->placeElsewhere(Reply, Now);
  }
  this->endAttempt(Reply.Result == Outcome::NotRun ? AttemptEnd::Shed
                                                   : AttemptEnd::Failed,
                   Now);
  return this->retryOrFail(Reply.Result, Reply.Reason, Reply.NoRetry, Now);
}

ExchangeActions Exchange::onNotSent(int Attempt, TimePoint Now) {
  if (!this->isCurrent(Attempt))
    return {};
  this->endAttempt(AttemptEnd::Unreachable, Now);
  return this->placeElsewhere(
      {.Result = Outcome::NotRun, .Reason = "upstream can't be reached"}, Now);
}

ExchangeActions Exchange::onLost(int Attempt, TimePoint Now) {
  if (!this->isCurrent(Attempt))
    return {};
  if (this->Resolving || this->Options.Rules->Idempotent) {
    this->endAttempt(AttemptEnd::Failed, Now);
    return this->retryOrFail(Outcome::Unknown, "connection to upstream broke",
                             false, Now);
  }
  this->Resolving = true;
  this->NextDeadline = std::min(this->NextDeadline, Now + ResolveTime);
  return {CancelAttempt{
      .Attempt = Attempt, .Upstream = *this->Current, .Stop = false}};
}

ExchangeActions Exchange::onCancelReply(int Attempt, CancelState State,
                                        TimePoint Now) {
  if (!this->isCurrent(Attempt))
    return {};
  switch (State) {
  case CancelState::NotRun:
    this->endAttempt(AttemptEnd::Refused, Now);
    return this->placeElsewhere(
        {.Result = Outcome::NotRun, .Reason = "cancelled"}, Now);
  case CancelState::Running:
    this->Resolving = false;
    this->NextDeadline = this->Options.Deadline + ReplyGrace;
    return {};
  case CancelState::Finished:
    this->endAttempt(AttemptEnd::Failed, Now);
    return this->retryOrFail(Outcome::Unknown, "the answer was lost", false,
                             Now);
  case CancelState::OtherLife:
    this->endAttempt(AttemptEnd::Failed, Now);
    return this->retryOrFail(Outcome::Unknown, "upstream's node restarted",
                             false, Now);
  }
  return {};
}

ExchangeActions Exchange::onTime(TimePoint Now) {
  if (this->Done || !this->Current || Now < this->NextDeadline)
    return {};
  const bool Late = Now >= this->Options.Deadline;
  const Vm Upstream = *this->Current;
  const int Attempt = this->LastAttempt;
  this->endAttempt(AttemptEnd::Failed, Now);
  ExchangeActions Actions = {
      CancelAttempt{.Attempt = Attempt, .Upstream = Upstream, .Stop = true}};
  const ExchangeActions More = this->retryOrFail(
      Outcome::Unknown,
      Late ? "no answer within the deadline" : "no answer from upstream", false,
      Now);
  Actions.insert(Actions.end(), More.begin(), More.end());
  return Actions;
}

ExchangeActions Exchange::onAborted(TimePoint Now) {
  if (this->Done)
    return {};
  this->Done = true;
  if (!this->Current)
    return {};
  const Vm Upstream = *this->Current;
  this->endAttempt(AttemptEnd::Abandoned, Now);
  return {CancelAttempt{
      .Attempt = this->LastAttempt, .Upstream = Upstream, .Stop = true}};
}

} // namespace bluebellbarrow
