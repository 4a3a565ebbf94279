#include "upstreamview.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace bluebellbarrow {

namespace {

constexpr int FailuresToEject = 5;
constexpr Duration FirstEjection = seconds(1);
constexpr Duration FirstUnreachable = milliseconds(250);
constexpr Duration MaxEjection = seconds(30);
constexpr int MaxDoublings = 7;

/** Weight of the newest call in an upstream's error rate. */
constexpr double ErrorWeight = 0.1;

/** Weight of the newest run in an upstream's slowness. */
constexpr double RunWeight = 0.1;

/** Weight of a mean of many runs there. */
constexpr double MeanWeight = 0.5;

/** Largest ratio of one run to the usual one that is taken in. */
constexpr double MaxRunRatio = 10;

/** Age at which a reported load counts half. */
constexpr Duration LoadHalfLife = milliseconds(500);

/** Share of its weight that a cold target starts with. */
constexpr double ColdShare = 0.1;

/** Time of a cold target's runs relative to a warm one's. */
constexpr double ColdSlowness = 2;

double share(Duration Part, Duration Whole) {
  if (Whole <= Duration::zero())
    return 1;
  return std::clamp(static_cast<double>(Part.count()) /
                        static_cast<double>(Whole.count()),
                    0.0, 1.0);
}

Duration scaled(Duration Time, double Factor) {
  return std::chrono::duration_cast<Duration>(Time * Factor);
}

auto orderOf(const MemberAnnouncement &Each) {
  return std::tuple(Each.Incarnation, Each.Sequence);
}

} // namespace

UpstreamView::UpstreamView(const Vm &Upstream, bool Known, TimePoint Now)
    : Listed(Upstream), FirstSeen(Now), LastSent(Now), KnownAtStart(Known) {}

void UpstreamView::onLoad(const LoadReport &New, TimePoint Now) {
  this->Load = New;
  this->LoadTime = Now;
  this->HasLoad = true;
  this->SentSinceReport = 0;
}

void UpstreamView::onAnnouncement(const MemberAnnouncement &New) {
  if (this->HasAnnouncement && orderOf(New) <= orderOf(this->Announced))
    return;
  if (this->HasAnnouncement && New.Incarnation > this->Announced.Incarnation) {
    this->ConsecutiveFailures = 0;
    this->EjectedUntil = TimePoint();
  }
  this->Announced = New;
  this->HasAnnouncement = true;
}

void UpstreamView::onSent(TimePoint Now) {
  this->InFlight += 1;
  this->SentSinceReport += 1;
  this->LastSent = Now;
}

void UpstreamView::onAttemptEnd(AttemptResult End, TimePoint Now) {
  this->InFlight = std::max<int64_t>(0, this->InFlight - 1);
  if (End == AttemptResult::RefusedByNode || End == AttemptResult::Abandoned)
    return;
  const bool Good = End == AttemptResult::Succeeded;
  this->ErrorRate += ErrorWeight * ((Good ? 0.0 : 1.0) - this->ErrorRate);
  if (Good) {
    this->ConsecutiveFailures = 0;
    this->Ejections = 0;
    return;
  }
  this->ConsecutiveFailures += 1;
  if (End == AttemptResult::Unreachable)
    this->eject(FirstUnreachable, Now);
  else if (this->ConsecutiveFailures >= FailuresToEject)
    this->eject(FirstEjection, Now);
}

void UpstreamView::onServiceTime(Duration Took, Duration Usual, bool IsMean) {
  if (Usual <= Duration::zero())
    return;
  const double Ratio =
      std::min(MaxRunRatio, static_cast<double>(Took.count()) /
                                static_cast<double>(Usual.count()));
  const double Weight = IsMean ? MeanWeight : RunWeight;
  this->Slowness += Weight * (Ratio - this->Slowness);
}

void UpstreamView::eject(Duration First, TimePoint Now) {
  const int Doublings = std::min(this->Ejections, MaxDoublings);
  this->Ejections += 1;
  this->EjectedUntil =
      Now + std::min<Duration>(First * (1 << Doublings), MaxEjection);
}

bool UpstreamView::acceptsRequests() const {
  if (this->HasLoad && this->Load.State != MemberState::Serving &&
      this->Load.State != MemberState::Starting)
    return false;
  if (this->HasAnnouncement && this->Announced.State != MemberState::Serving)
    return false;
  return !this->Listed.Leaving;
}

double UpstreamView::slots(const Policy &Rules) const {
  if (this->Load.Slots > 0)
    return this->Load.Slots;
  return static_cast<double>(this->Listed.Slots > 0 ? this->Listed.Slots
                                                    : Rules.Slots);
}

double UpstreamView::outstandingRequests(TimePoint Now) const {
  const double Age = std::chrono::duration<double>(Now - this->LoadTime) /
                     std::chrono::duration<double>(LoadHalfLife);
  const double Reported = (this->Load.SlotsUsed + this->Load.Queued) *
                              std::exp2(-std::max(0.0, Age)) +
                          static_cast<double>(this->SentSinceReport);
  return std::max(Reported, static_cast<double>(this->InFlight));
}

double UpstreamView::slowStartFactor(const Policy &Rules, TimePoint Now) const {
  if (this->KnownAtStart || this->Listed.TargetStartUnixMillis != 0)
    return 1;
  return std::max(ColdShare, share(Now - this->FirstSeen, Rules.SlowStart));
}

double UpstreamView::load(const Policy &Rules, TimePoint Now) const {
  const double Slots = std::max(1.0, this->slots(Rules));
  return (this->outstandingRequests(Now) + 1) / Slots /
         this->slowStartFactor(Rules, Now);
}

Duration UpstreamView::expectedWait(const Policy &Rules, Duration Run,
                                    TimePoint Now) const {
  const double Slots = std::max(1.0, this->slots(Rules));
  const double Over = this->outstandingRequests(Now) + 1 - Slots;
  if (Over <= 0)
    return Duration::zero();
  const double Age = std::chrono::duration<double>(Now - this->LoadTime) /
                     std::chrono::duration<double>(LoadHalfLife);
  const auto Rank = static_cast<size_t>(
      std::clamp<int64_t>(Rules.Priority, 0, ReportedPriorities - 1));
  const Duration Reported = scaled(microseconds(this->Load.WaitMicros[Rank]),
                                   std::exp2(-std::max(0.0, Age)));
  return Reported +
         scaled(Run, static_cast<double>(this->SentSinceReport) / Slots);
}

Duration UpstreamView::expectedServiceTime(Duration Usual, const Policy &Rules,
                                           TimePoint Now) const {
  const bool Cold = Now < this->FirstSeen + this->Listed.RemainingWarmUp;
  const double Factor =
      Cold ? std::max(ColdSlowness, this->Slowness) : this->Slowness;
  return scaled(Usual, Factor / this->slowStartFactor(Rules, Now));
}

} // namespace bluebellbarrow
