#include "pullcontrol.h"

namespace bluebellbarrow {

namespace {

constexpr Duration MinRepairDelay = milliseconds(100);
constexpr Duration MaxRepairDelay = milliseconds(300);
constexpr Duration PullTimeout = milliseconds(1000);

} // namespace

Duration PullControl::drawDelay() {
  std::uniform_int_distribution<int64_t> Draw(toMicroseconds(MinRepairDelay),
                                              toMicroseconds(MaxRepairDelay));
  return microseconds(Draw(this->Random));
}

void PullControl::onNewer(const Address &Peer, const VersionTag &Tag,
                          bool Urgent, TimePoint Now) {
  const TimePoint Due = Urgent ? Now : Now + this->drawDelay();
  if (this->Next && this->Next->Tag >= Tag && this->Next->Due <= Due)
    return;
  this->Next = Plan{.Peer = Peer, .Tag = Tag, .Due = Due};
}

void PullControl::onOffer(const Address &Peer, const VersionTag &Tag,
                          TimePoint Now) {
  if (this->Next && this->Next->Proven && this->Next->Tag >= Tag)
    return;
  this->Next = Plan{.Peer = Peer, .Tag = Tag, .Due = Now, .Proven = true};
}

void PullControl::onBusy(const Address &Peer, const BusyMessage &Message,
                         TimePoint Now) {
  this->onTransfer(Peer);
  if (this->Next)
    return;
  this->Next =
      Plan{.Peer = Message.Other.empty() ? Peer : Message.Other,
           .Tag = {},
           .Due = Now + milliseconds(Message.RetryAfter) + this->drawDelay()};
}

void PullControl::onTransfer(const Address &Peer) {
  if (this->Active && this->Active->Peer == Peer)
    this->Active.reset();
}

void PullControl::onSendFailed(const Address &Peer) {
  this->onTransfer(Peer);
  if (this->Next && this->Next->Peer == Peer)
    this->Next.reset();
}

void PullControl::pull(const Address &Peer, const VersionId &Have,
                       TimePoint Now, SpreadActions &Actions) {
  this->Active = Pull{.Peer = Peer, .Deadline = Now + PullTimeout};
  Actions.emplace_back(
      SendControl{Peer, PullMessage{.Kind = this->Kind, .Have = Have}});
}

void PullControl::clear() {
  this->Next.reset();
  this->Active.reset();
}

void PullControl::onApplied(const VersionTag &InForce) {
  if (this->Next && this->Next->Tag <= InForce)
    this->Next.reset();
}

void PullControl::onSilent(const VersionId &Have, TimePoint Now,
                           SpreadActions &Actions) {
  const Pull Silent = *this->Active;
  this->Active.reset();
  Actions.emplace_back(RenewLink{Silent.Peer});
  if (Silent.Again || this->Next)
    return;
  this->pull(Silent.Peer, Have, Now, Actions);
  this->Active->Again = true;
}

void PullControl::poll(const VersionId &Have, TimePoint Now,
                       SpreadActions &Actions) {
  if (this->Active && Now >= this->Active->Deadline)
    this->onSilent(Have, Now, Actions);
  if (this->Active || !this->Next || Now < this->Next->Due)
    return;
  const Address Peer = this->Next->Peer;
  this->Next.reset();
  this->pull(Peer, Have, Now, Actions);
}

} // namespace bluebellbarrow
