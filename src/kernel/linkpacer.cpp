#include "linkpacer.h"

#include <algorithm>

namespace bluebellbarrow {

namespace {

/** Share of the link that long messages may fill. */
constexpr double LongMessageShare = 0.95;

/** Time of the link's work that may be written ahead. */
constexpr Duration MaxWrittenAhead = milliseconds(10);

/** Time of the link's work by which short messages may overdraw the bucket. */
constexpr Duration MaxOverdraft = milliseconds(200);

double inSeconds(Duration Span) {
  return std::chrono::duration<double>(Span).count();
}

Duration fromSeconds(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

} // namespace

LinkPacer::LinkPacer(double BytesPerSecond, TimePoint Now)
    : Rate(BytesPerSecond * LongMessageShare),
      Balance(this->Rate * inSeconds(MaxWrittenAhead)),
      MaxBalance(this->Balance), UpdatedAt(Now) {}

double LinkPacer::balanceAt(TimePoint Now) const {
  return std::min(this->MaxBalance,
                  this->Balance +
                      this->Rate * inSeconds(Now - this->UpdatedAt));
}

Duration LinkPacer::timeToNextPiece(TimePoint Now) const {
  const double Missing = -this->balanceAt(Now);
  return Missing <= 0 ? Duration::zero() : fromSeconds(Missing / this->Rate);
}

void LinkPacer::onWritten(size_t Bytes, TimePoint Now) {
  const double Lowest = -this->Rate * inSeconds(MaxOverdraft);
  this->Balance =
      std::max(Lowest, this->balanceAt(Now) - static_cast<double>(Bytes));
  this->UpdatedAt = Now;
}

Duration LinkPacer::timeToCarry(double Bytes) const {
  return fromSeconds(Bytes / this->Rate);
}

} // namespace bluebellbarrow
