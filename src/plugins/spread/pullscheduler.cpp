#include "pullscheduler.h"

namespace bluebellbarrow {

namespace {

constexpr Duration MinPullDelay = milliseconds(100);
constexpr Duration MaxPullDelay = milliseconds(300);
constexpr Duration PullTimeout = milliseconds(1000);

} // namespace

Duration PullScheduler::drawDelay() {
  std::uniform_int_distribution<int64_t> Distribution(
      toMicroseconds(MinPullDelay), toMicroseconds(MaxPullDelay));
  return microseconds(Distribution(this->Random));
}

void PullScheduler::onNewerVersion(const Address &Peer, const VersionTag &Tag,
                                   bool Urgent, TimePoint Now) {
  const TimePoint Due = Urgent ? Now : Now + this->drawDelay();
  if (this->Planned && this->Planned->Tag >= Tag && this->Planned->Due <= Due)
    return;
  this->Planned = PlannedPull{.Peer = Peer, .Tag = Tag, .Due = Due};
}

void PullScheduler::onOffer(const Address &Peer, const VersionTag &Tag,
                            TimePoint Now) {
  if (this->Planned && this->Planned->StreamVerified &&
      this->Planned->Tag >= Tag)
    return;
  this->Planned =
      PlannedPull{.Peer = Peer, .Tag = Tag, .Due = Now, .StreamVerified = true};
}

void PullScheduler::onBusy(const Address &Peer, const BusyMessage &Message,
                           TimePoint Now) {
  this->onTransfer(Peer);
  if (this->Planned)
    return;
  this->Planned = PlannedPull{
      .Peer = Message.AlternatePeer.empty() ? Peer : Message.AlternatePeer,
      .Tag = {},
      .Due = Now + milliseconds(Message.RetryAfterMs) + this->drawDelay()};
}

void PullScheduler::onTransfer(const Address &Peer) {
  if (this->Active && this->Active->Peer == Peer)
    this->Active.reset();
}

void PullScheduler::onSendFailed(const Address &Peer) {
  this->onTransfer(Peer);
  if (this->Planned && this->Planned->Peer == Peer)
    this->Planned.reset();
}

void PullScheduler::startPull(const Address &Peer,
                              const VersionId &CurrentVersion, TimePoint Now,
                              DisseminatorActions &Actions) {
  this->Active = ActivePull{.Peer = Peer, .Deadline = Now + PullTimeout};
  Actions.emplace_back(SendControl{
      Peer, PullMessage{.Kind = this->Kind, .CurrentVersion = CurrentVersion}});
}

void PullScheduler::cancelAll() {
  this->Planned.reset();
  this->Active.reset();
}

void PullScheduler::onApplied(const VersionTag &Current) {
  if (this->Planned && this->Planned->Tag <= Current)
    this->Planned.reset();
}

void PullScheduler::onTimeout(const VersionId &CurrentVersion, TimePoint Now,
                              DisseminatorActions &Actions) {
  const ActivePull TimedOut = *this->Active;
  this->Active.reset();
  Actions.emplace_back(ResetStalledStream{TimedOut.Peer});
  if (TimedOut.IsRetry || this->Planned)
    return;
  this->startPull(TimedOut.Peer, CurrentVersion, Now, Actions);
  this->Active->IsRetry = true;
}

void PullScheduler::poll(const VersionId &CurrentVersion, TimePoint Now,
                         DisseminatorActions &Actions) {
  if (this->Active && Now >= this->Active->Deadline)
    this->onTimeout(CurrentVersion, Now, Actions);
  if (this->Active || !this->Planned || Now < this->Planned->Due)
    return;
  const Address Peer = this->Planned->Peer;
  this->Planned.reset();
  this->startPull(Peer, CurrentVersion, Now, Actions);
}

} // namespace bluebellbarrow
