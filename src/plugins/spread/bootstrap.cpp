#include "bootstrap.h"

namespace bluebellbarrow {

namespace {

/** Time after which a version that no peer can hand over is given up. */
constexpr Duration GiveUp = seconds(10);

/** Time for further answers after the first. */
constexpr Duration GatherTime = milliseconds(200);

} // namespace

void Bootstrap::onAsked(TimePoint Now) {
  if (!this->Asked)
    this->Asked = Now;
}

void Bootstrap::onHeard(const VersionTag &Tag, TimePoint Now) {
  if (Tag <= this->Highest)
    return;
  this->Highest = Tag;
  this->HeardHighest = Now;
}

SettledBy Bootstrap::poll(const VersionTag &InForce, TimePoint Now) {
  if (this->Settled || !this->Asked)
    return SettledBy::NotYet;

  SettledBy Cause = SettledBy::NotYet;
  if (this->Highest.none()) {
    if (Now - *this->Asked >= this->Silence)
      Cause = SettledBy::Silence;
  } else if (InForce >= this->Highest) {
    if (Now - *this->Asked >= GatherTime)
      Cause = SettledBy::Peers;
  } else if (Now - this->HeardHighest >= GiveUp) {
    Cause = SettledBy::GivenUp;
  }
  this->Settled = Cause != SettledBy::NotYet;
  return Cause;
}

} // namespace bluebellbarrow
