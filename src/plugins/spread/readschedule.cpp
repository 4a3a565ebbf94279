#include "readschedule.h"

#include <algorithm>

namespace bluebellbarrow {

namespace {

constexpr Duration MaxRankDelay = seconds(30);
constexpr Duration FirstBackoff = milliseconds(200);
constexpr Duration MaxBackoff = seconds(5);
constexpr int MaxDoublings = 5;
constexpr uint32_t UnknownAge = 0xffffffff;

uint32_t ageInMilliseconds(TimePoint Then, TimePoint Now) {
  const int64_t Age = std::max<int64_t>(0, toMilliseconds(Now - Then));
  return static_cast<uint32_t>(std::min<int64_t>(Age, UnknownAge - 1));
}

} // namespace

ReadSchedule::ReadSchedule(ReadScheduleOptions Options, uint64_t Seed,
                           TimePoint Now)
    : Options(Options), Random(Seed) {
  this->Own.Try = Now;
  this->Heard.Try = Now;
  this->NotBefore = Now;
  this->drawJitter();
}

void ReadSchedule::setRank(size_t NewRank, size_t NewFleetSize) {
  this->Rank = std::min<size_t>(NewRank, 0xfffe);
  this->FleetSize = std::max<size_t>(NewFleetSize, 1);
}

void ReadSchedule::onHeard(const ReadNews &News, TimePoint Now) {
  if (News.Rank == this->Rank)
    return;
  if (News.TryAge != UnknownAge)
    this->Heard.Try =
        std::max(this->Heard.Try, Now - milliseconds(News.TryAge));
  if (News.GoodAge == UnknownAge)
    return;

  const TimePoint Good = Now - milliseconds(News.GoodAge);
  const bool HeardIsOld =
      !this->Heard.HasGood || Now - this->Heard.Good > this->freshness();
  const bool NewIsFresh = Now - Good <= this->freshness();
  const bool Preferred = News.Rank <= this->Heard.Rank && NewIsFresh;
  if (!Preferred && !(HeardIsOld && Good > this->Heard.Good))
    return;
  this->Heard.Good =
      News.Rank == this->Heard.Rank ? std::max(this->Heard.Good, Good) : Good;
  this->Heard.Rank = News.Rank;
  this->Heard.HasGood = true;
}

void ReadSchedule::onGoodRead(TimePoint Now) {
  this->Own.Good = Now;
  this->Own.Try = Now;
  this->Own.HasGood = true;
  this->Failures = 0;
  this->NotBefore = Now;
}

void ReadSchedule::onFailedRead(TimePoint Now) {
  this->Own.Try = Now;
  const int Doublings = std::min(this->Failures, MaxDoublings);
  this->Failures += 1;
  this->drawJitter();
  const Duration Backoff =
      std::min<Duration>(FirstBackoff * (1 << Doublings), MaxBackoff);
  this->NotBefore = Now + Backoff + this->Jitter;
}

Duration ReadSchedule::freshness() const {
  const auto Told = static_cast<size_t>(this->Options.Readers) + Successors;
  return this->Rank < Told ? this->Options.Base
                           : this->Options.Base + this->Options.NewsDelay;
}

Duration ReadSchedule::limit() const {
  const auto Readers = static_cast<size_t>(this->Options.Readers);
  const size_t Waiting = this->Rank < Readers ? 0 : this->Rank - Readers;
  const Duration ByRank = std::min<Duration>(
      this->Options.Step * static_cast<int64_t>(Waiting), MaxRankDelay);
  return this->freshness() + ByRank + this->Jitter;
}

bool ReadSchedule::standsAside(TimePoint Now) const {
  return this->Heard.HasGood && this->Heard.Rank < this->Rank &&
         Now - this->Heard.Good <= this->freshness();
}

bool ReadSchedule::shouldRead(TimePoint Now) const {
  if (Now < this->NotBefore)
    return false;
  if (this->Rank < static_cast<size_t>(this->Options.Readers))
    return true;
  if (this->standsAside(Now))
    return false;

  const bool AlreadyReads = this->Own.HasGood && this->Failures == 0 &&
                            Now - this->Own.Good <= this->Options.Base;
  if (AlreadyReads)
    return true;
  const TimePoint LastGood =
      this->Heard.HasGood ? this->Heard.Good : TimePoint::min();
  const TimePoint Last = std::max({LastGood, this->Heard.Try, this->Own.Try});
  const auto Share = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(static_cast<double>(this->FleetSize) /
                                    this->Options.FleetRequestsPerSecond));
  const Duration Wait =
      this->Failures > 0 ? std::max(this->limit(), Share) : this->limit();
  return Now - Last > Wait;
}

ReadNews ReadSchedule::news(TimePoint Now) const {
  ReadNews News;
  News.TryAge =
      ageInMilliseconds(std::max(this->Own.Try, this->Heard.Try), Now);
  const bool OwnIsFresh =
      this->Own.HasGood && Now - this->Own.Good <= this->Options.Base;
  const bool UseOwn =
      this->Own.HasGood &&
      (!this->Heard.HasGood || (OwnIsFresh && this->Rank < this->Heard.Rank) ||
       this->Own.Good > this->Heard.Good);
  if (UseOwn) {
    News.Rank = static_cast<uint16_t>(this->Rank);
    News.GoodAge = ageInMilliseconds(this->Own.Good, Now);
  } else if (this->Heard.HasGood) {
    News.Rank = static_cast<uint16_t>(this->Heard.Rank);
    News.GoodAge = ageInMilliseconds(this->Heard.Good, Now);
  }
  return News;
}

std::optional<Duration> ReadSchedule::goodAge(TimePoint Now) const {
  if (!this->Own.HasGood && !this->Heard.HasGood)
    return std::nullopt;
  TimePoint Best = TimePoint::min();
  if (this->Own.HasGood)
    Best = this->Own.Good;
  if (this->Heard.HasGood)
    Best = std::max(Best, this->Heard.Good);
  return Now - Best;
}

void ReadSchedule::drawJitter() {
  std::uniform_int_distribution<int64_t> Draw(
      0, toMicroseconds(this->Options.Step));
  this->Jitter = microseconds(Draw(this->Random));
}

} // namespace bluebellbarrow
