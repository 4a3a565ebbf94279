#include "readschedule.h"

#include <algorithm>

namespace bluebellbarrow {

namespace {

/** Age in a PlatformReadStatus when there is no such read. */
constexpr uint32_t UnknownAge = 0xffffffff;

constexpr Duration InitialBackoff = milliseconds(200);

/** Maximum backoff of a designated reader. */
constexpr Duration MaxReaderBackoff = seconds(1);

/** Maximum backoff of any other node. */
constexpr Duration MaxBackoff = seconds(5);

constexpr int MaxDoublings = 5;

/** Share of the takeover age from which on peers are queried. */
constexpr double PeerQueryShare = 0.9;

/** Multiple of the takeover age from which on the platform counts as down. */
constexpr double PlatformDownFactor = 2;

/** Minimum time between two queries to peers. */
constexpr Duration PeerQueryInterval = milliseconds(150);

/** Maximum number of earlier nodes that this one waits for. */
constexpr size_t MaxEarlierNodes = 8;

/** Minimum time between two updates of EarlierNodes. */
constexpr Duration RefreshInterval = milliseconds(250);

/** Time for which a failed read by another node is kept. */
constexpr Duration FailureRetention = seconds(10);

/**
 * A read that a peer reports is clearly newer if it succeeded more than this
 * time after the last successful read known.
 */
constexpr Duration MinReadAdvance = milliseconds(100);

constexpr size_t MaxFailedNodes = 64;

/** Additional delay of a node that is no seed, while no node is listed. */
constexpr Duration NonSeedDelay = seconds(1);

Duration scaled(Duration Time, double Factor) {
  return std::chrono::duration_cast<Duration>(Time * Factor);
}

uint32_t ageInMilliseconds(TimePoint Past, TimePoint Now) {
  const int64_t Age = std::max<int64_t>(0, toMilliseconds(Now - Past));
  return static_cast<uint32_t>(std::min<int64_t>(Age, UnknownAge - 1));
}

} // namespace

ReadSchedule::ReadSchedule(ReadScheduleOptions Options, VmName Self,
                           const ReadOrder &Order, uint64_t Seed, TimePoint Now)
    : Options(Options), Self(std::move(Self)), Order(Order), Random(Seed),
      NextRefresh(Now), LastAttempt(Now), WaitStart(Now), LastQuery(Now),
      NotBefore(Now) {
  this->drawJitter();
}

void ReadSchedule::refreshOrder(TimePoint Now) {
  if (!this->OrderChanged || Now < this->NextRefresh)
    return;
  this->OrderChanged = false;
  this->OrderKnown = this->Order.size() > 0;
  this->NextRefresh = Now + RefreshInterval;
  this->EarlierNodes = this->Order.nodesBefore(this->Self, MaxEarlierNodes);
}

void ReadSchedule::restartTakeoverDelay(TimePoint Now) {
  this->WaitStart = Now;
}

bool ReadSchedule::isDesignatedReader() const {
  return this->OrderKnown && this->EarlierNodes.size() <
                                 static_cast<size_t>(this->Options.ReaderCount);
}

void ReadSchedule::recordPeerFailure(const VmName &Sender,
                                     const PlatformReadStatus &Status,
                                     TimePoint Now) {
  this->FailedNodes.erase(Sender);
  if (Status.LastFailureAgeMs == UnknownAge)
    return;
  std::erase_if(this->FailedNodes, [Now](const auto &Failure) {
    return Now - Failure.second > FailureRetention;
  });
  if (this->FailedNodes.size() < MaxFailedNodes)
    this->FailedNodes[Sender] = Now - milliseconds(Status.LastFailureAgeMs);
}

bool ReadSchedule::onPeerReadStatus(const VmName &Sender,
                                    const PlatformReadStatus &Status,
                                    TimePoint Now) {
  this->recordPeerFailure(Sender, Status, Now);
  if (Status.ReaderAgeMs != UnknownAge)
    this->updateKnownReader(
        {.Name = Status.Reader,
         .LastSuccess = Now - milliseconds(Status.ReaderAgeMs)},
        Now);
  if (Status.LastSuccessAgeMs == UnknownAge)
    return false;
  const TimePoint SuccessTime = Now - milliseconds(Status.LastSuccessAgeMs);
  const bool IsNewer =
      !this->LastSuccess || SuccessTime > *this->LastSuccess + MinReadAdvance;
  this->recordSuccess(SuccessTime);
  return IsNewer;
}

void ReadSchedule::recordSuccess(TimePoint SuccessTime) {
  if (this->LastSuccess && SuccessTime <= *this->LastSuccess)
    return;
  if (this->LastSuccess && this->isPlatformDown(SuccessTime))
    this->RecoveredAt = SuccessTime;
  this->LastSuccess = SuccessTime;
}

bool ReadSchedule::isPlatformDown(TimePoint Now) const {
  return this->LastSuccess &&
         Now - *this->LastSuccess >
             scaled(this->Options.TakeoverAge, PlatformDownFactor);
}

void ReadSchedule::updateKnownReader(const Reader &Reported, TimePoint Now) {
  if (Now - Reported.LastSuccess > this->Options.TakeoverAge)
    return;
  const bool KnownIsStale =
      !this->KnownReader ||
      Now - this->KnownReader->LastSuccess > this->Options.TakeoverAge;
  if (!KnownIsStale && Reported.Name == this->KnownReader->Name)
    this->KnownReader->LastSuccess =
        std::max(this->KnownReader->LastSuccess, Reported.LastSuccess);
  else if (KnownIsStale || this->Order.position(Reported.Name) <
                               this->Order.position(this->KnownReader->Name))
    this->KnownReader = Reported;
}

void ReadSchedule::onReadSucceeded(TimePoint Now) {
  this->LastAttempt = Now;
  this->recordSuccess(Now);
  // A starting node reads once without a decision of shouldRead(); that read
  // does not make it a known reader.
  if (this->DecidedToRead)
    this->updateKnownReader({.Name = this->Self, .LastSuccess = Now}, Now);
  this->Failures = 0;
  this->NotBefore = Now;
}

bool ReadSchedule::onReadFailed(TimePoint Now) {
  const bool WasReader = this->isDesignatedReader() || this->IsActingReader;
  this->LastAttempt = Now;
  const int Doublings = std::min(this->Failures, MaxDoublings);
  this->Failures += 1;
  this->IsActingReader = false;
  this->drawJitter();
  const Duration MaxDelay =
      this->isDesignatedReader() ? MaxReaderBackoff : MaxBackoff;
  const Duration Backoff =
      std::min<Duration>(InitialBackoff * (1 << Doublings), MaxDelay);
  this->NotBefore = Now + scaled(Backoff, (1 + this->Jitter) / 2);
  return WasReader;
}

bool ReadSchedule::hasFailed(const VmName &Name) const {
  const auto Failure = this->FailedNodes.find(Name);
  return Failure != this->FailedNodes.end() &&
         (!this->LastSuccess || Failure->second >= *this->LastSuccess);
}

bool ReadSchedule::knownReaderHasFailed() const {
  return this->KnownReader && this->hasFailed(this->KnownReader->Name);
}

bool ReadSchedule::yieldsToReader(TimePoint Now) const {
  return this->KnownReader &&
         Now - this->KnownReader->LastSuccess <= this->Options.TakeoverAge &&
         this->Order.position(this->KnownReader->Name) < this->position() &&
         !this->knownReaderHasFailed();
}

int64_t ReadSchedule::awaitedCount() const {
  return std::count_if(
      this->EarlierNodes.begin(), this->EarlierNodes.end(),
      [this](const VmName &Name) { return !this->hasFailed(Name); });
}

Duration ReadSchedule::fleetReadPeriod() const {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(static_cast<double>(this->Order.size()) /
                                    this->Options.FleetRequestsPerSecond));
}

Duration ReadSchedule::takeoverDelay() const {
  const bool ReaderFailed = this->Failures == 0 && this->knownReaderHasFailed();
  const Duration Base =
      ReaderFailed ? Duration::zero() : this->Options.TakeoverAge;
  const bool WaitsForSeeds = this->Order.size() == 0 && !this->Options.IsSeed;
  const Duration Delay = Base +
                         this->Options.TakeoverStep * this->awaitedCount() +
                         (WaitsForSeeds ? NonSeedDelay : Duration::zero());
  const Duration JitterDelay = scaled(this->fleetReadPeriod(), this->Jitter);
  if (this->Failures > 0)
    return Delay + this->fleetReadPeriod() + JitterDelay;
  // The first nodes take over one after another. All later ones have the same
  // delay, so jitter keeps them from reading at the same time.
  return this->EarlierNodes.size() < MaxEarlierNodes ? Delay
                                                     : Delay + JitterDelay;
}

bool ReadSchedule::shouldRead(TimePoint Now) {
  this->refreshOrder(Now);
  this->DecidedToRead = this->decideRead(Now);
  return this->DecidedToRead;
}

bool ReadSchedule::decideRead(TimePoint Now) {
  if (Now < this->NotBefore)
    return false;
  if (this->isDesignatedReader()) {
    this->IsActingReader = true;
    return true;
  }
  if (this->yieldsToReader(Now)) {
    this->IsActingReader = false;
    return false;
  }
  TimePoint DelayStart =
      std::max(this->WaitStart, this->LastSuccess.value_or(this->WaitStart));
  if (this->Failures > 0)
    DelayStart = std::max(DelayStart, this->LastAttempt);
  else if (this->knownReaderHasFailed())
    DelayStart =
        std::max(DelayStart, this->FailedNodes.at(this->KnownReader->Name));
  this->IsActingReader =
      this->IsActingReader || Now - DelayStart > this->takeoverDelay();
  return this->IsActingReader;
}

bool ReadSchedule::isDueSoon(TimePoint Now) const {
  const TimePoint DelayStart =
      std::max(this->WaitStart, this->LastSuccess.value_or(this->WaitStart));
  return Now - DelayStart > scaled(this->Options.TakeoverAge, PeerQueryShare);
}

bool ReadSchedule::shouldQueryPeers(TimePoint Now) const {
  return !this->isDesignatedReader() &&
         Now - this->LastQuery >= PeerQueryInterval && this->isDueSoon(Now);
}

PlatformReadStatus ReadSchedule::readStatus(TimePoint Now) const {
  PlatformReadStatus Status;
  if (this->LastSuccess)
    Status.LastSuccessAgeMs = ageInMilliseconds(*this->LastSuccess, Now);
  if (this->Failures > 0)
    Status.LastFailureAgeMs = ageInMilliseconds(this->LastAttempt, Now);
  if (this->KnownReader) {
    Status.Reader = this->KnownReader->Name;
    Status.ReaderAgeMs = ageInMilliseconds(this->KnownReader->LastSuccess, Now);
  }
  return Status;
}

std::optional<Duration> ReadSchedule::lastSuccessAge(TimePoint Now) const {
  if (!this->LastSuccess)
    return std::nullopt;
  return Now - *this->LastSuccess;
}

void ReadSchedule::drawJitter() {
  std::uniform_real_distribution<double> Distribution(0, 1);
  this->Jitter = Distribution(this->Random);
}

} // namespace bluebellbarrow
