#include "bootstrap.h"

namespace bluebellbarrow {

namespace {

/** Time after which a version that no peer can hand over is given up. */
constexpr Duration GiveUp = seconds(10);

/** Time for further answers after the first. */
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

BootstrapOutcome Bootstrap::poll(const VersionTag &InForce, TimePoint Now) {
  if (this->Complete || !this->FirstQuery)
    return BootstrapOutcome::Pending;

  BootstrapOutcome Cause = BootstrapOutcome::Pending;
  if (this->HighestVersion.isNone()) {
    if (Now - *this->FirstQuery >= this->SilenceTimeout)
      Cause = BootstrapOutcome::PeersSilent;
  } else if (InForce >= this->HighestVersion) {
    if (Now - *this->FirstQuery >= GatherTime)
      Cause = BootstrapOutcome::CaughtUp;
  } else if (Now - this->HighestVersionSeen >= GiveUp) {
    Cause = BootstrapOutcome::TimedOut;
  }
  this->Complete = Cause != BootstrapOutcome::Pending;
  return Cause;
}

} // namespace bluebellbarrow
