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
      NextRefresh(Now), OwnTry(Now), Started(Now), LastAsk(Now),
      NotBefore(Now) {
  this->drawJitter();
}

void ReadSchedule::refreshOrder(TimePoint Now) {
  if (!this->OrderChanged || Now < this->NextRefresh)
    return;
  this->OrderChanged = false;
  this->OrderKnown = this->Order.size() > 0;
  this->NextRefresh = Now + RefreshInterval;
  this->Better = this->Order.before(this->Self, MaxWaitedFor);
}

void ReadSchedule::restart(TimePoint Now) { this->Started = Now; }

bool ReadSchedule::isReader() const {
  return this->OrderKnown &&
         this->Better.size() < static_cast<size_t>(this->Options.Readers);
}

void ReadSchedule::takeFailure(const VmName &Sender, const ReadNews &News,
                               TimePoint Now) {
  this->Failed.erase(Sender);
  if (News.FailedAge == UnknownAge)
    return;
  std::erase_if(this->Failed, [Now](const auto &Each) {
    return Now - Each.second > FailureMemory;
  });
  if (this->Failed.size() < MaxFailures)
    this->Failed[Sender] = Now - milliseconds(News.FailedAge);
}

bool ReadSchedule::onHeard(const VmName &Sender, const ReadNews &News,
                           TimePoint Now) {
  this->takeFailure(Sender, News, Now);
  if (News.ReaderAge != UnknownAge)
    this->takeReader(
        {.Name = News.Reader, .Good = Now - milliseconds(News.ReaderAge)}, Now);
  if (News.GoodAge == UnknownAge)
    return false;
  const TimePoint When = Now - milliseconds(News.GoodAge);
  const bool IsNews = !this->Good || When > *this->Good + NewsStep;
  this->takeGood(When);
  return IsNews;
}

void ReadSchedule::takeGood(TimePoint When) {
  if (this->Good && When <= *this->Good)
    return;
  if (this->Good && this->isAway(When))
    this->Returned = When;
  this->Good = When;
}

bool ReadSchedule::isAway(TimePoint Now) const {
  return this->Good &&
         Now - *this->Good > scaled(this->Options.Base, AwayShare);
}

void ReadSchedule::takeReader(const Reader &Heard, TimePoint Now) {
  if (Now - Heard.Good > this->Options.Base)
    return;
  const bool KnownIsOld =
      !this->Best || Now - this->Best->Good > this->Options.Base;
  if (!KnownIsOld && Heard.Name == this->Best->Name)
    this->Best->Good = std::max(this->Best->Good, Heard.Good);
  else if (KnownIsOld || this->Order.placeOf(Heard.Name) <
                             this->Order.placeOf(this->Best->Name))
    this->Best = Heard;
}

void ReadSchedule::onGoodRead(TimePoint Now) {
  this->OwnTry = Now;
  this->takeGood(Now);
  // The read of a node that starts is its last one for now.
  if (this->Reads)
    this->takeReader({.Name = this->Self, .Good = Now}, Now);
  this->Failures = 0;
  this->NotBefore = Now;
}

bool ReadSchedule::onFailedRead(TimePoint Now) {
  const bool Awaited = this->isReader() || this->Reading;
  this->OwnTry = Now;
  const int Doublings = std::min(this->Failures, MaxDoublings);
  this->Failures += 1;
  this->Reading = false;
  this->drawJitter();
  const Duration Longest = this->isReader() ? MaxReaderBackoff : MaxBackoff;
  const Duration Backoff =
      std::min<Duration>(FirstBackoff * (1 << Doublings), Longest);
  this->NotBefore = Now + scaled(Backoff, (1 + this->Jitter) / 2);
  return Awaited;
}

bool ReadSchedule::hasFailed(const VmName &Name) const {
  const auto Known = this->Failed.find(Name);
  return Known != this->Failed.end() &&
         (!this->Good || Known->second >= *this->Good);
}

bool ReadSchedule::readerHasFailed() const {
  return this->Best && this->hasFailed(this->Best->Name);
}

bool ReadSchedule::standsAside(TimePoint Now) const {
  return this->Best && Now - this->Best->Good <= this->Options.Base &&
         this->Order.placeOf(this->Best->Name) < this->place() &&
         !this->readerHasFailed();
}

int64_t ReadSchedule::awaitedCount() const {
  return std::count_if(
      this->Better.begin(), this->Better.end(),
      [this](const VmName &Each) { return !this->hasFailed(Each); });
}

Duration ReadSchedule::fleetShare() const {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(static_cast<double>(this->Order.size()) /
                                    this->Options.FleetRequestsPerSecond));
}

Duration ReadSchedule::limit() const {
  const bool AtOnce = this->Failures == 0 && this->readerHasFailed();
  const Duration Base = AtOnce ? Duration::zero() : this->Options.Base;
  const bool WaitsForSeeds = this->Order.size() == 0 && !this->Options.IsSeed;
  const Duration Turn = Base + this->Options.Step * this->awaitedCount() +
                        (WaitsForSeeds ? UnlistedWait : Duration::zero());
  const Duration Spread = scaled(this->fleetShare(), this->Jitter);
  if (this->Failures > 0)
    return Turn + this->fleetShare() + Spread;
  // The first ones take turns; all others would come at once.
  return this->Better.size() < MaxWaitedFor ? Turn : Turn + Spread;
}

bool ReadSchedule::shouldRead(TimePoint Now) {
  this->refreshOrder(Now);
  this->Reads = this->decideRead(Now);
  return this->Reads;
}

bool ReadSchedule::decideRead(TimePoint Now) {
  if (Now < this->NotBefore)
    return false;
  if (this->isReader()) {
    this->Reading = true;
    return true;
  }
  if (this->standsAside(Now)) {
    this->Reading = false;
    return false;
  }
  TimePoint Last = std::max(this->Started, this->Good.value_or(this->Started));
  if (this->Failures > 0)
    Last = std::max(Last, this->OwnTry);
  else if (this->readerHasFailed())
    Last = std::max(Last, this->Failed.at(this->Best->Name));
  this->Reading = this->Reading || Now - Last > this->limit();
  return this->Reading;
}

bool ReadSchedule::isDueSoon(TimePoint Now) const {
  const TimePoint Last =
      std::max(this->Started, this->Good.value_or(this->Started));
  return Now - Last > scaled(this->Options.Base, AskShare);
}

bool ReadSchedule::shouldAsk(TimePoint Now) const {
  return !this->isReader() && Now - this->LastAsk >= AskInterval &&
         this->isDueSoon(Now);
}

ReadNews ReadSchedule::news(TimePoint Now) const {
  ReadNews News;
  if (this->Good)
    News.GoodAge = ageInMilliseconds(*this->Good, Now);
  if (this->Failures > 0)
    News.FailedAge = ageInMilliseconds(this->OwnTry, Now);
  if (this->Best) {
    News.Reader = this->Best->Name;
    News.ReaderAge = ageInMilliseconds(this->Best->Good, Now);
  }
  return News;
}

std::optional<Duration> ReadSchedule::goodAge(TimePoint Now) const {
  if (!this->Good)
    return std::nullopt;
  return Now - *this->Good;
}

void ReadSchedule::drawJitter() {
  std::uniform_real_distribution<double> Draw(0, 1);
  this->Jitter = Draw(this->Random);
}

} // namespace bluebellbarrow
