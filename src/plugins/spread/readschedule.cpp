#include "readschedule.h"

#include <algorithm>

namespace bluebellbarrow {

namespace {

constexpr size_t UnknownPlace = 0xffff;
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

/** Time for which a node that was heard counts as present. */
constexpr Duration PresenceTime = seconds(1);

/** Better-placed nodes that are waited for at most. */
constexpr int64_t MaxWaitedFor = 8;

/** Age difference from which on a read is news. */
constexpr Duration NewsStep = milliseconds(100);

constexpr size_t MaxHeard = 64;

Duration scaled(Duration Time, double Factor) {
  return std::chrono::duration_cast<Duration>(Time * Factor);
}

uint32_t ageInMilliseconds(TimePoint Then, TimePoint Now) {
  const int64_t Age = std::max<int64_t>(0, toMilliseconds(Now - Then));
  return static_cast<uint32_t>(std::min<int64_t>(Age, UnknownAge - 1));
}

} // namespace

ReadSchedule::ReadSchedule(ReadScheduleOptions Options, uint64_t Seed,
                           TimePoint Now)
    : Options(Options), Random(Seed), Place(UnknownPlace), OwnTry(Now),
      Started(Now), LastAsk(Now), NotBefore(Now) {
  this->drawJitter();
}

void ReadSchedule::setPlace(size_t NewPlace, size_t NewFleetSize) {
  this->Place = std::min(NewPlace, UnknownPlace);
  this->FleetSize = std::max<size_t>(NewFleetSize, 1);
}

void ReadSchedule::restart(TimePoint Now) { this->Started = Now; }

bool ReadSchedule::isReader() const {
  return this->Place < static_cast<size_t>(this->Options.Readers);
}

bool ReadSchedule::onHeard(const ReadNews &News, TimePoint Now) {
  if (News.SenderPlace != this->Place) {
    this->Heard[News.SenderPlace] = Now;
    if (this->Heard.size() > MaxHeard)
      this->Heard.erase(std::prev(this->Heard.end()));
    this->Failed.erase(News.SenderPlace);
    if (News.FailedAge != UnknownAge)
      this->Failed[News.SenderPlace] = Now - milliseconds(News.FailedAge);
    if (this->Failed.size() > MaxHeard)
      this->Failed.erase(std::prev(this->Failed.end()));
  }
  if (News.ReaderAge != UnknownAge)
    this->takeReader(
        {.Place = News.ReaderPlace, .Good = Now - milliseconds(News.ReaderAge)},
        Now);
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
  if (KnownIsOld || Heard.Place < this->Best->Place)
    this->Best = Heard;
  else if (Heard.Place == this->Best->Place)
    this->Best->Good = std::max(this->Best->Good, Heard.Good);
}

void ReadSchedule::onGoodRead(TimePoint Now) {
  this->OwnTry = Now;
  this->takeGood(Now);
  this->takeReader({.Place = this->Place, .Good = Now}, Now);
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

bool ReadSchedule::hasFailed(size_t Place) const {
  const auto Known = this->Failed.find(Place);
  return Known != this->Failed.end() &&
         (!this->Good || Known->second >= *this->Good);
}

bool ReadSchedule::readerHasFailed() const {
  return this->Best && this->hasFailed(this->Best->Place);
}

bool ReadSchedule::standsAside(TimePoint Now) const {
  return this->Best && this->Best->Place < this->Place &&
         Now - this->Best->Good <= this->Options.Base &&
         !this->readerHasFailed();
}

int64_t ReadSchedule::betterPlacedHeard(TimePoint Now) const {
  const auto Readers = static_cast<size_t>(this->Options.Readers);
  return std::count_if(
      this->Heard.begin(), this->Heard.end(), [&](const auto &Each) {
        // Those that always read have failed when the last read is old.
        return Each.first >= Readers && Each.first < this->Place &&
               Now - Each.second <= PresenceTime &&
               !this->hasFailed(Each.first);
      });
}

Duration ReadSchedule::fleetShare() const {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(static_cast<double>(this->FleetSize) /
                                    this->Options.FleetRequestsPerSecond));
}

Duration ReadSchedule::limit(TimePoint Now) const {
  const int64_t Better = std::min(this->betterPlacedHeard(Now), MaxWaitedFor);
  const Duration Spread = scaled(this->fleetShare(), this->Jitter);
  const bool AtOnce = this->Failures == 0 && this->readerHasFailed();
  const Duration Base = AtOnce ? Duration::zero() : this->Options.Base;
  const Duration Turn = Base + this->Options.Step * Better;
  return this->Failures > 0 ? Turn + this->fleetShare() + Spread
                            : Turn + Spread;
}

bool ReadSchedule::shouldRead(TimePoint Now) {
  if (Now < this->NotBefore)
    return false;
  if (this->isReader())
    return true;
  if (this->standsAside(Now)) {
    this->Reading = false;
    return false;
  }
  TimePoint Last = std::max(this->Started, this->Good.value_or(this->Started));
  if (this->Failures > 0)
    Last = std::max(Last, this->OwnTry);
  else if (this->readerHasFailed())
    Last = std::max(Last, this->Failed.at(this->Best->Place));
  this->Reading = this->Reading || Now - Last > this->limit(Now);
  return this->Reading;
}

bool ReadSchedule::shouldAsk(TimePoint Now) const {
  const TimePoint Last =
      std::max(this->Started, this->Good.value_or(this->Started));
  return !this->isReader() && Now - this->LastAsk >= AskInterval &&
         Now - Last > scaled(this->Options.Base, AskShare);
}

ReadNews ReadSchedule::news(TimePoint Now) const {
  ReadNews News{.SenderPlace = static_cast<uint16_t>(this->Place)};
  if (this->Good)
    News.GoodAge = ageInMilliseconds(*this->Good, Now);
  if (this->Failures > 0)
    News.FailedAge = ageInMilliseconds(this->OwnTry, Now);
  if (this->Best) {
    News.ReaderPlace = static_cast<uint16_t>(this->Best->Place);
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
