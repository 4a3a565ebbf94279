#include "readschedule.h"

#include <algorithm>

namespace bluebellbarrow {

namespace {

constexpr uint32_t UnknownAge = 0xffffffff;

constexpr Duration FirstBackoff = milliseconds(200);

/** Longest time between two failed reads of a node that always reads. */
constexpr Duration MaxReaderBackoff = seconds(1);

/** Longest time between two failed reads of another node. */
constexpr Duration MaxBackoff = seconds(5);

constexpr int MaxDoublings = 5;

/** Share of the base age at which peers are asked. */
constexpr double AskShare = 0.9;

/** Multiple of the base age from which on the platform counts as away. */
constexpr double AwayShare = 2;

/** Time between two questions to peers. */
constexpr Duration AskInterval = milliseconds(150);

/** Better-placed nodes that are waited for at most. */
constexpr size_t MaxWaitedFor = 8;

/** Least time between two looks at a changed order. */
constexpr Duration RefreshInterval = milliseconds(250);

/** Time for which a failed read of another node is remembered. */
constexpr Duration FailureMemory = seconds(10);

/** Age difference from which on a read is news. */
constexpr Duration NewsStep = milliseconds(100);

constexpr size_t MaxFailures = 64;

/** Time by which those that are no seeds read later while none is listed. */
constexpr Duration UnlistedWait = seconds(1);

Duration scaled(Duration Time, double Factor) {
  return std::chrono::duration_cast<Duration>(Time * Factor);
}

uint32_t ageInMilliseconds(TimePoint Then, TimePoint Now) {
  const int64_t Age = std::max<int64_t>(0, toMilliseconds(Now - Then));
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
  this->EarlierNodes = this->Order.nodesBefore(this->Self, MaxWaitedFor);
}

void ReadSchedule::restartWait(TimePoint Now) { this->WaitStart = Now; }

bool ReadSchedule::isDesignatedReader() const {
  return this->OrderKnown && this->EarlierNodes.size() <
                                 static_cast<size_t>(this->Options.ReaderCount);
}

void ReadSchedule::recordPeerFailure(const VmName &Sender,
                                     const PlatformReadStatus &News,
                                     TimePoint Now) {
  this->FailedNodes.erase(Sender);
  if (News.LastFailureAgeMs == UnknownAge)
    return;
  std::erase_if(this->FailedNodes, [Now](const auto &Each) {
    return Now - Each.second > FailureMemory;
  });
  if (this->FailedNodes.size() < MaxFailures)
    this->FailedNodes[Sender] = Now - milliseconds(News.LastFailureAgeMs);
}

bool ReadSchedule::onPeerReadStatus(const VmName &Sender,
                                    const PlatformReadStatus &News,
                                    TimePoint Now) {
  this->recordPeerFailure(Sender, News, Now);
  if (News.ReaderAgeMs != UnknownAge)
    this->updateKnownReader(
        {.Name = News.Reader,
         .LastSuccess = Now - milliseconds(News.ReaderAgeMs)},
        Now);
  if (News.LastSuccessAgeMs == UnknownAge)
    return false;
  const TimePoint When = Now - milliseconds(News.LastSuccessAgeMs);
  const bool IsNews =
      !this->LastSuccess || When > *this->LastSuccess + NewsStep;
  this->recordSuccess(When);
  return IsNews;
}

void ReadSchedule::recordSuccess(TimePoint When) {
  if (this->LastSuccess && When <= *this->LastSuccess)
    return;
  if (this->LastSuccess && this->isPlatformDown(When))
    this->RecoveredAt = When;
  this->LastSuccess = When;
}

bool ReadSchedule::isPlatformDown(TimePoint Now) const {
  return this->LastSuccess && Now - *this->LastSuccess >
                                  scaled(this->Options.TakeoverAge, AwayShare);
}

void ReadSchedule::updateKnownReader(const Reader &Heard, TimePoint Now) {
  if (Now - Heard.LastSuccess > this->Options.TakeoverAge)
    return;
  const bool KnownIsOld =
      !this->KnownReader ||
      Now - this->KnownReader->LastSuccess > this->Options.TakeoverAge;
  if (!KnownIsOld && Heard.Name == this->KnownReader->Name)
    this->KnownReader->LastSuccess =
        std::max(this->KnownReader->LastSuccess, Heard.LastSuccess);
  else if (KnownIsOld || this->Order.position(Heard.Name) <
                             this->Order.position(this->KnownReader->Name))
    this->KnownReader = Heard;
}

void ReadSchedule::onReadSucceeded(TimePoint Now) {
  this->LastAttempt = Now;
  this->recordSuccess(Now);
  // The read of a node that starts is its last one for now.
  if (this->LastDecision)
    this->updateKnownReader({.Name = this->Self, .LastSuccess = Now}, Now);
  this->Failures = 0;
  this->NotBefore = Now;
}

bool ReadSchedule::onReadFailed(TimePoint Now) {
  const bool Awaited = this->isDesignatedReader() || this->IsActingReader;
  this->LastAttempt = Now;
  const int Doublings = std::min(this->Failures, MaxDoublings);
  this->Failures += 1;
  this->IsActingReader = false;
  this->drawJitter();
  const Duration Longest =
      this->isDesignatedReader() ? MaxReaderBackoff : MaxBackoff;
  const Duration Backoff =
      std::min<Duration>(FirstBackoff * (1 << Doublings), Longest);
  this->NotBefore = Now + scaled(Backoff, (1 + this->Jitter) / 2);
  return Awaited;
}

bool ReadSchedule::hasFailed(const VmName &Name) const {
  const auto Known = this->FailedNodes.find(Name);
  return Known != this->FailedNodes.end() &&
         (!this->LastSuccess || Known->second >= *this->LastSuccess);
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
      [this](const VmName &Each) { return !this->hasFailed(Each); });
}

Duration ReadSchedule::fleetReadPeriod() const {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(static_cast<double>(this->Order.size()) /
                                    this->Options.FleetRequestsPerSecond));
}

Duration ReadSchedule::takeoverDelay() const {
  const bool AtOnce = this->Failures == 0 && this->knownReaderHasFailed();
  const Duration Base = AtOnce ? Duration::zero() : this->Options.TakeoverAge;
  const bool WaitsForSeeds = this->Order.size() == 0 && !this->Options.IsSeed;
  const Duration Turn = Base +
                        this->Options.TakeoverStep * this->awaitedCount() +
                        (WaitsForSeeds ? UnlistedWait : Duration::zero());
  const Duration Spread = scaled(this->fleetReadPeriod(), this->Jitter);
  if (this->Failures > 0)
    return Turn + this->fleetReadPeriod() + Spread;
  // The first ones take turns; all others would come at once.
  return this->EarlierNodes.size() < MaxWaitedFor ? Turn : Turn + Spread;
}

bool ReadSchedule::shouldRead(TimePoint Now) {
  this->refreshOrder(Now);
  this->LastDecision = this->decideRead(Now);
  return this->LastDecision;
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
  TimePoint Last =
      std::max(this->WaitStart, this->LastSuccess.value_or(this->WaitStart));
  if (this->Failures > 0)
    Last = std::max(Last, this->LastAttempt);
  else if (this->knownReaderHasFailed())
    Last = std::max(Last, this->FailedNodes.at(this->KnownReader->Name));
  this->IsActingReader =
      this->IsActingReader || Now - Last > this->takeoverDelay();
  return this->IsActingReader;
}

bool ReadSchedule::isDueSoon(TimePoint Now) const {
  const TimePoint Last =
      std::max(this->WaitStart, this->LastSuccess.value_or(this->WaitStart));
  return Now - Last > scaled(this->Options.TakeoverAge, AskShare);
}

bool ReadSchedule::shouldQueryPeers(TimePoint Now) const {
  return !this->isDesignatedReader() && Now - this->LastQuery >= AskInterval &&
         this->isDueSoon(Now);
}

PlatformReadStatus ReadSchedule::readStatus(TimePoint Now) const {
  PlatformReadStatus News;
  if (this->LastSuccess)
    News.LastSuccessAgeMs = ageInMilliseconds(*this->LastSuccess, Now);
  if (this->Failures > 0)
    News.LastFailureAgeMs = ageInMilliseconds(this->LastAttempt, Now);
  if (this->KnownReader) {
    News.Reader = this->KnownReader->Name;
    News.ReaderAgeMs = ageInMilliseconds(this->KnownReader->LastSuccess, Now);
  }
  return News;
}

std::optional<Duration> ReadSchedule::lastSuccessAge(TimePoint Now) const {
  if (!this->LastSuccess)
    return std::nullopt;
  return Now - *this->LastSuccess;
}

void ReadSchedule::drawJitter() {
  std::uniform_real_distribution<double> Draw(0, 1);
  this->Jitter = Draw(this->Random);
}

} // namespace bluebellbarrow
