#include "coldstartlimiter.h"

#include <algorithm>
#include <cmath>

namespace bluebellbarrow {

namespace {

/** Length of the window in which starts are counted. */
constexpr Duration Window = seconds(1);

/**
 * Parts of the window that the starts at a cold target are spread over, so that
 * no request waits for most of a second behind a burst.
 */
constexpr int WindowParts = 4;

/** Time between two probes of a target that may be cold. */
constexpr Duration RetryInterval = milliseconds(250);

/**
 * Share of the slack that is used without a proof. The rest is for requests
 * that were sent before a probe and arrive after it.
 */
constexpr double UnprovenSlackShare = 0.5;

size_t wholeRequests(double Count) {
  return static_cast<size_t>(std::max(1.0, std::floor(Count)));
}

} // namespace

size_t ColdStartLimiter::maxCold() const {
  return wholeRequests(this->Limits.Rate * this->Limits.Overshoot);
}

size_t ColdStartLimiter::maxUnproven() const {
  return wholeRequests(this->Limits.Rate * this->Limits.Overshoot +
                       this->Limits.Slack * UnprovenSlackShare);
}

size_t ColdStartLimiter::startsSince(TimePoint Since) const {
  const auto First =
      std::upper_bound(this->Starts.begin(), this->Starts.end(), Since);
  return static_cast<size_t>(this->Starts.end() - First);
}

bool ColdStartLimiter::mayBeCold(TimePoint Now) const {
  return Now < this->ColdUntil || !this->WarmAsOf;
}

bool ColdStartLimiter::mayStart(TimePoint Now) const {
  if (!this->isActive())
    return true;
  if (!this->mayBeCold(Now))
    return this->startsSince(std::max(*this->WarmAsOf, Now - Window)) <
           this->maxUnproven();
  // What an earlier process has started is not known.
  if (Now < this->StartedAt + Window)
    return false;
  const size_t MaxInPart = (this->maxCold() + WindowParts - 1) / WindowParts;
  return this->startsSince(Now - Window) < this->maxCold() &&
         this->startsSince(Now - Window / WindowParts) < MaxInPart;
}

Duration ColdStartLimiter::timeToStart(size_t Ahead, TimePoint Now) const {
  if (!this->isActive() || (Ahead == 0 && this->mayStart(Now)))
    return Duration::zero();
  if (!this->mayBeCold(Now))
    return Duration::zero();
  const size_t Recent = this->startsSince(Now - Window / WindowParts);
  return Window * static_cast<int64_t>(Ahead + Recent + 1) /
         static_cast<int64_t>(this->maxCold());
}

void ColdStartLimiter::onStart(TimePoint Now) {
  while (!this->Starts.empty() && this->Starts.front() <= Now - Window)
    this->Starts.pop_front();
  this->Starts.push_back(Now);
  this->StartsSinceProbe += 1;
}

bool ColdStartLimiter::isProbeDue(TimePoint Now) const {
  if (!this->isActive() || this->OpenProbe || Now < this->ColdUntil)
    return false;
  if (!this->WarmAsOf)
    return !this->LastProbe || Now >= *this->LastProbe + RetryInterval;
  return this->StartsSinceProbe >= std::max<size_t>(1, this->maxUnproven() / 2);
}

void ColdStartLimiter::onProbeSent(TimePoint Now) {
  this->OpenProbe = Now;
  this->LastProbe = Now;
  this->StartsSinceProbe = 0;
}

void ColdStartLimiter::onProbeDone(std::optional<Duration> Remaining,
                                   TimePoint Now) {
  const TimePoint SentAt = this->OpenProbe.value_or(Now);
  this->OpenProbe.reset();
  if (!Remaining) {
    this->WarmAsOf.reset();
    return;
  }
  if (*Remaining > Duration::zero()) {
    this->WarmAsOf.reset();
    this->ColdUntil = Now + *Remaining;
    return;
  }
  // The response may be from the process before.
  if (SentAt >= this->LostAt) {
    this->WarmAsOf = SentAt;
    this->ColdUntil = Now;
  }
}

void ColdStartLimiter::onTargetChanged(TimePoint Now) {
  this->LostAt = Now;
  this->LastProbe.reset();
  this->WarmAsOf.reset();
  this->ColdUntil = std::min(this->ColdUntil, Now);
}

} // namespace bluebellbarrow
