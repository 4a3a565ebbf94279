#include "upstreamview.h"

#include "responsesizes.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace bluebellbarrow {

namespace {

/** Consecutive failures that eject an upstream. */
constexpr int FailuresToEject = 5;

/**
 * Duration of the first ejection after failures. Each further one without a
 * success in between is twice as long.
 */
constexpr Duration FailureEjection = seconds(1);

/** Duration of the first ejection of an unreachable node. */
constexpr Duration UnreachableEjection = milliseconds(250);

constexpr Duration MaxEjection = seconds(30);
constexpr int MaxEjectionDoublings = 7;

/** Weight of the newest call in an upstream's error rate. */
constexpr double ErrorWeight = 0.1;

/** Weight of one request in an upstream's service time ratio. */
constexpr double SampleWeight = 0.1;

/** Weight of a mean of many requests in that ratio. */
constexpr double MeanWeight = 0.5;

/** Upper limit of one sample of that ratio. */
constexpr double MaxServiceTimeRatio = 10;

/**
 * Time for which a reported state excludes an upstream. Announcements carry the
 * state reliably; a report only bridges the time until one arrives.
 */
constexpr Duration ReportedStateLifetime = seconds(1);

/** Age at which a load report and the mean of all reports weigh the same. */
constexpr Duration LoadHalfLife = milliseconds(500);

/** Weight of the newest load report in the mean of all. */
constexpr double LoadReportWeight = 0.3;

/** Minimum slow-start factor; a newly listed target starts with it. */
constexpr double MinSlowStartFactor = 0.1;

/** Minimum service time ratio that is assumed for a cold target. */
constexpr double ColdServiceTimeRatio = 2;

constexpr double MicrosPerMilli = 1000;

double clampedRatio(Duration Part, Duration Whole) {
  if (Whole <= Duration::zero())
    return 1;
  return std::clamp(static_cast<double>(Part.count()) /
                        static_cast<double>(Whole.count()),
                    0.0, 1.0);
}

Duration scaled(Duration Time, double Factor) {
  return std::chrono::duration_cast<Duration>(Time * Factor);
}

auto versionOf(const MemberAnnouncement &Announcement) {
  return std::tuple(Announcement.Incarnation, Announcement.Sequence);
}

} // namespace

const char *exclusionName(Exclusion Cause) {
  switch (Cause) {
  case Exclusion::None:
    return "none";
  case Exclusion::ListedAsLeaving:
    return "leaving";
  case Exclusion::AnnouncedState:
    return "announced";
  case Exclusion::ReportedState:
    return "reported";
  case Exclusion::Evacuated:
    return "evacuated";
  }
  return "unknown";
}

UpstreamView::UpstreamView(const Vm &Upstream, bool KnownAtStart, TimePoint Now)
    : ListedVm(Upstream), FirstSeen(Now),
      ColdUntil(Now + Upstream.RemainingWarmUp), LastSent(Now),
      KnownAtStart(KnownAtStart) {}

void UpstreamView::onLoad(const LoadReport &Report, TimePoint Now) {
  const double Weight = this->HasReport ? LoadReportWeight : 1;
  this->MeanOutstanding +=
      Weight * (Report.SlotsUsed + Report.Queued - this->MeanOutstanding);
  for (size_t Index = 0; Index < ReportedPriorities; ++Index)
    this->MeanWaitMicros[Index] += Weight * (Report.ExpectedWaitMicros[Index] -
                                             this->MeanWaitMicros[Index]);
  this->MeanLinkWaitMicros +=
      Weight * (Report.LinkWaitMicros - this->MeanLinkWaitMicros);
  this->LastReport = Report;
  this->LastReportTime = Now;
  this->HasReport = true;
  this->SentSinceReport = 0;
  const bool Serves = Report.State == MemberState::Serving ||
                      Report.State == MemberState::Starting;
  this->ReportedStateUntil = Serves ? TimePoint() : Now + ReportedStateLifetime;
}

void UpstreamView::update(const Vm &Upstream, TimePoint Now) {
  const bool HasRestarted =
      Upstream.TargetStartUnixMillis != this->ListedVm.TargetStartUnixMillis;
  const bool IsColdAgain =
      Upstream.RemainingWarmUp > this->ListedVm.RemainingWarmUp;
  this->ListedVm = Upstream;
  if (HasRestarted || IsColdAgain)
    this->ColdUntil = Now + Upstream.RemainingWarmUp;
  if (!HasRestarted)
    return;
  this->FirstSeen = Now;
  this->ErrorRate = 0;
  this->forgetFailures();
  this->forgetReports();
}

void UpstreamView::onAnnouncement(const MemberAnnouncement &Received) {
  if (this->HasAnnouncement &&
      versionOf(Received) <= versionOf(this->Announcement))
    return;
  if (this->HasAnnouncement &&
      Received.Incarnation > this->Announcement.Incarnation) {
    this->forgetFailures();
    this->forgetReports();
  }
  this->ReportedStateUntil = TimePoint();
  this->Announcement = Received;
  this->HasAnnouncement = true;
}

void UpstreamView::onSent(TimePoint Now) {
  this->InFlight += 1;
  this->SentSinceReport += 1;
  this->LastSent = Now;
}

void UpstreamView::onAttemptEnd(AttemptResult Result, TimePoint Now) {
  this->InFlight = std::max<int64_t>(0, this->InFlight - 1);
  if (Result == AttemptResult::RefusedByNode ||
      Result == AttemptResult::Abandoned)
    return;
  const bool Success = Result == AttemptResult::Succeeded;
  this->ErrorRate += ErrorWeight * ((Success ? 0.0 : 1.0) - this->ErrorRate);
  if (Success) {
    this->ConsecutiveFailures = 0;
    this->Ejections = 0;
    return;
  }
  this->ConsecutiveFailures += 1;
  if (Result == AttemptResult::Unreachable)
    this->eject(UnreachableEjection, Now);
  else if (this->ConsecutiveFailures >= FailuresToEject)
    this->eject(FailureEjection, Now);
}

void UpstreamView::onServiceTime(Duration ServiceTime, Duration RouteMean,
                                 bool IsMean) {
  if (RouteMean <= Duration::zero())
    return;
  const double Ratio =
      std::min(MaxServiceTimeRatio, static_cast<double>(ServiceTime.count()) /
                                        static_cast<double>(RouteMean.count()));
  const double Weight = IsMean ? MeanWeight : SampleWeight;
  this->ServiceTimeRatio += Weight * (Ratio - this->ServiceTimeRatio);
}

void UpstreamView::forgetReports() {
  this->LastReport = LoadReport();
  this->HasReport = false;
  this->SentSinceReport = 0;
  this->MeanOutstanding = 0;
  this->MeanWaitMicros.fill(0);
  this->MeanLinkWaitMicros = 0;
  this->ReportedStateUntil = TimePoint();
}

void UpstreamView::forgetFailures() {
  this->ConsecutiveFailures = 0;
  this->Ejections = 0;
  this->EjectedUntil = TimePoint();
}

void UpstreamView::eject(Duration BaseDuration, TimePoint Now) {
  const int Doublings = std::min(this->Ejections, MaxEjectionDoublings);
  this->Ejections += 1;
  this->EjectedUntil =
      Now + std::min<Duration>(BaseDuration * (1 << Doublings), MaxEjection);
}

Exclusion UpstreamView::exclusion(TimePoint Now) const {
  if (this->ListedVm.Leaving)
    return Exclusion::ListedAsLeaving;
  if (this->ListedVm.Evacuated)
    return Exclusion::Evacuated;
  if (this->HasAnnouncement && this->Announcement.State != MemberState::Serving)
    return Exclusion::AnnouncedState;
  if (Now < this->ReportedStateUntil)
    return Exclusion::ReportedState;
  return Exclusion::None;
}

double UpstreamView::slots(const Policy &RoutePolicy) const {
  if (this->LastReport.Slots > 0)
    return this->LastReport.Slots;
  return static_cast<double>(this->ListedVm.Slots > 0 ? this->ListedVm.Slots
                                                      : RoutePolicy.Slots);
}

double UpstreamView::reportWeight(TimePoint Now) const {
  const double Age = std::chrono::duration<double>(Now - this->LastReportTime) /
                     std::chrono::duration<double>(LoadHalfLife);
  return std::exp2(-std::max(0.0, Age));
}

double UpstreamView::outstandingRequests(TimePoint Now) const {
  const double Weight = this->reportWeight(Now);
  const double Reported =
      Weight * (this->LastReport.SlotsUsed + this->LastReport.Queued) +
      (1 - Weight) * this->MeanOutstanding +
      static_cast<double>(this->SentSinceReport);
  return std::max(Reported, static_cast<double>(this->InFlight));
}

double UpstreamView::slowStartFactor(const Policy &RoutePolicy,
                                     TimePoint Now) const {
  if (this->KnownAtStart || this->ListedVm.TargetStartUnixMillis != 0)
    return 1;
  return std::max(MinSlowStartFactor,
                  clampedRatio(Now - this->FirstSeen, RoutePolicy.SlowStart));
}

double UpstreamView::load(const Policy &RoutePolicy, TimePoint Now) const {
  const double Slots = std::max(1.0, this->slots(RoutePolicy));
  return (this->outstandingRequests(Now) + 1) / Slots /
         this->slowStartFactor(RoutePolicy, Now);
}

Duration UpstreamView::expectedWait(const Policy &RoutePolicy,
                                    Duration ServiceTime, TimePoint Now) const {
  const double Slots = std::max(1.0, this->slots(RoutePolicy));
  const auto Priority = static_cast<size_t>(
      std::clamp<int64_t>(RoutePolicy.Priority, 0, ReportedPriorities - 1));
  const double Weight = this->reportWeight(Now);
  const double Reported =
      Weight * this->LastReport.ExpectedWaitMicros[Priority] +
      (1 - Weight) * this->MeanWaitMicros[Priority];
  const double Excess = this->outstandingRequests(Now) + 1 - Slots;
  const double SentAhead =
      Excess <= 0 ? 0 : static_cast<double>(this->SentSinceReport);
  return microseconds(static_cast<int64_t>(Reported)) +
         scaled(ServiceTime, SentAhead / Slots);
}

Duration UpstreamView::expectedLinkTime(double Bytes, TimePoint Now) const {
  if (Bytes < MinLinkResponseBytes || this->LastReport.LinkBytesPerMilli == 0)
    return Duration::zero();
  const double Weight = this->reportWeight(Now);
  const double Owed = Weight * this->LastReport.LinkWaitMicros +
                      (1 - Weight) * this->MeanLinkWaitMicros;
  const double Millis = Bytes / this->LastReport.LinkBytesPerMilli *
                        static_cast<double>(1 + this->SentSinceReport);
  return microseconds(static_cast<int64_t>(Owed)) +
         microseconds(static_cast<int64_t>(Millis * MicrosPerMilli));
}

Duration UpstreamView::expectedServiceTime(Duration Baseline,
                                           const Policy &RoutePolicy,
                                           TimePoint Now) const {
  const bool Cold = Now < this->ColdUntil;
  const double Factor =
      Cold ? std::max(ColdServiceTimeRatio, this->ServiceTimeRatio)
           : this->ServiceTimeRatio;
  return scaled(Baseline, Factor / this->slowStartFactor(RoutePolicy, Now));
}

} // namespace bluebellbarrow
