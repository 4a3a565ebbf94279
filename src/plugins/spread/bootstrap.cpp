#include "bootstrap.h"

namespace bluebellbarrow {

namespace {

/** Time after which a version that no peer delivers is no longer awaited. */
constexpr Duration FetchTimeout = seconds(10);

/** Minimum time after the first query, in which more peers may respond. */
constexpr Duration GatherTime = milliseconds(200);

} // namespace

void Bootstrap::onPeersQueried(TimePoint Now) {
  if (!this->FirstQuery)
    this->FirstQuery = Now;
}

void Bootstrap::onPeerVersion(const VersionTag &Tag, TimePoint Now) {
  if (Tag <= this->HighestVersion)
    return;
  this->HighestVersion = Tag;
  this->HighestVersionSeen = Now;
}

BootstrapOutcome Bootstrap::poll(const VersionTag &Current, TimePoint Now) {
  if (this->Complete || !this->FirstQuery)
    return BootstrapOutcome::Pending;

  BootstrapOutcome Outcome = BootstrapOutcome::Pending;
  if (this->HighestVersion.isNone()) {
    if (Now - *this->FirstQuery >= this->PeerTimeout)
      Outcome = BootstrapOutcome::NoPeerVersion;
  } else if (Current >= this->HighestVersion) {
    if (Now - *this->FirstQuery >= GatherTime)
      Outcome = BootstrapOutcome::CaughtUp;
  } else if (Now - this->HighestVersionSeen >= FetchTimeout) {
    Outcome = BootstrapOutcome::TimedOut;
  }
  this->Complete = Outcome != BootstrapOutcome::Pending;
  return Outcome;
}

} // namespace bluebellbarrow
