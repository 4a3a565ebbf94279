/**
 * \file
 * The part of Disseminator that forwards versions and announcements down the
 * tree of the local domain and to remote domains.
 */

#include "disseminator.h"

#include <algorithm>

namespace bluebellbarrow {

namespace {

/** Number of nodes, first in the read order, notified of reads directly. */
constexpr size_t NotifiedReaders = 4;

/** Minimum fan-out of a node that is no slow reader. */
constexpr int64_t FastReaderFanOut = 16;

/** Size of a transfer from which a slow reader only offers the version. */
constexpr size_t LargePushBytes = size_t{8} * 1024;

size_t textBytes(const TransferMessage &Message) {
  size_t Bytes = 0;
  for (const std::string &Text : Message.Texts)
    Bytes += Text.size();
  return Bytes;
}

} // namespace

void Disseminator::notifyNextReaders(TimePoint Now) {
  for (const Address &Root : this->domainRoots())
    this->sendDigest(Root, DigestPurpose::ReadUpdate, Now);
  // The next readers are notified directly, in case a node of the tree is
  // unresponsive.
  for (const VmName &Name : this->Order.firstNodes(NotifiedReaders))
    if (Name != this->Options.Self)
      this->sendDigest(this->Nodes.findByName(Name)->Ip,
                       DigestPurpose::ReadUpdate, Now);
}

void Disseminator::notifyChildren(TimePoint Now) {
  if (this->CurrentPolicy.Strategy != "tree")
    return;
  const auto FanOut = static_cast<size_t>(this->CurrentPolicy.FanOut);
  for (const Address &Child : this->Nodes.localChildren(FanOut))
    this->sendDigest(Child, DigestPurpose::ReadUpdate, Now);
}

std::vector<Address> Disseminator::domainRoots() const {
  std::vector<Address> Roots = this->Nodes.remoteRoots();
  const auto &Members = this->Nodes.domainMembers();
  if (!Members.empty() && this->Nodes.localRank() > 0)
    Roots.push_back(Members.front().Ip);
  return Roots;
}

std::vector<Address> Disseminator::remoteRelays() const {
  std::vector<Address> Relays;
  for (const Address &Root : this->Nodes.remoteRoots()) {
    const Vm *First = this->Order.firstInDomain(
        this->Nodes.findByAddress(Root)->Domain, VmName());
    Relays.push_back(First->Ip);
  }
  return Relays;
}

PushTree Disseminator::makeLocalTree() const {
  const int64_t FanOut =
      this->Options.IsSlowReader
          ? this->CurrentPolicy.FanOut
          : std::max(this->CurrentPolicy.FanOut, FastReaderFanOut);
  return {.Root = this->Options.Ip, .FanOut = static_cast<uint16_t>(FanOut)};
}

void Disseminator::forwardVersion(ResourceKind Kind,
                                  const VersionSource &Source, TimePoint Now) {
  if (this->inHoldDown(Now) || this->CurrentPolicy.Strategy != "tree")
    return;
  const Address From(Source.Name);
  if (Source.Kind == SourceKind::Push) {
    this->pushToChildren(
        Kind, Source.Tree.ReceiverIsRoot ? this->makeLocalTree() : Source.Tree,
        From, Now);
    return;
  }
  // A reader pushes the content to remote domains. A node that pulled the
  // version, or read it without being a reader, only offers it.
  const bool IsReader =
      Source.Kind == SourceKind::Platform && this->Schedule.isReading();
  if (IsReader) {
    this->pushToChildren(Kind, this->makeLocalTree(), From, Now);
    for (const Address &Relay : this->remoteRelays())
      this->push(Relay, Kind, {.ReceiverIsRoot = true}, Now);
    return;
  }
  std::vector<Address> Receivers = this->Nodes.localChildren(
      static_cast<size_t>(this->CurrentPolicy.FanOut));
  const std::vector<Address> Roots = this->domainRoots();
  Receivers.insert(Receivers.end(), Roots.begin(), Roots.end());
  for (const Address &Receiver : Receivers)
    if (Receiver != From)
      this->offer(Receiver, Kind, Now);
}

void Disseminator::pushToChildren(ResourceKind Kind, const PushTree &Tree,
                                  const Address &From, TimePoint Now) {
  const size_t FanOut = Tree.FanOut > 0
                            ? Tree.FanOut
                            : static_cast<size_t>(this->CurrentPolicy.FanOut);
  for (const Address &Child :
       this->Nodes.children(this->Options.Ip, Tree.Root, FanOut))
    if (Child != From)
      this->push(Child, Kind, Tree, Now);
}

void Disseminator::push(const Address &To, ResourceKind Kind,
                        const PushTree &Tree, TimePoint Now) {
  const VersionStore &Store = this->store(Kind);
  TransferMessage Message = Store.makeTransfer(Store.previousId());
  const bool TooLarge =
      this->Options.IsSlowReader && textBytes(Message) >= LargePushBytes;
  if (TooLarge || !this->CurrentPolicy.PushContent) {
    this->offer(To, Kind, Now);
    return;
  }
  Message.Pushed = true;
  Message.Tree = Tree;
  this->Actions.emplace_back(SendControl{To, std::move(Message)});
  this->Pushes.add({.Peer = To,
                    .Kind = Kind,
                    .Version = toVersionTag(Store.currentId()),
                    .Tree = Tree,
                    .Deadline = Now + this->CurrentPolicy.AckTimeout});
}

void Disseminator::offer(const Address &To, ResourceKind Kind, TimePoint Now) {
  const VersionId Version = this->store(Kind).currentId();
  this->Actions.emplace_back(
      SendControl{To, OfferMessage{.Kind = Kind, .Version = Version}});
  this->Pushes.add({.Peer = To,
                    .Kind = Kind,
                    .Version = toVersionTag(Version),
                    .Tree = {},
                    .Deadline = Now + this->CurrentPolicy.AckTimeout});
}

void Disseminator::bypassReceivers(const std::vector<PendingPush> &Failed,
                                   TimePoint Now) {
  for (const PendingPush &Push : Failed) {
    const Vm *Peer = this->Nodes.findByAddress(Push.Peer);
    if (Push.Tree.ReceiverIsRoot && Peer != nullptr) {
      const Vm *Next = this->Order.firstInDomain(Peer->Domain, Peer->Name);
      if (Next != nullptr)
        this->push(Next->Ip, Push.Kind, Push.Tree, Now);
      continue;
    }
    const size_t FanOut = Push.Tree.FanOut > 0
                              ? Push.Tree.FanOut
                              : static_cast<size_t>(this->CurrentPolicy.FanOut);
    for (const Address &Child :
         this->Nodes.children(Push.Peer, Push.Tree.Root, FanOut))
      this->push(Child, Push.Kind, Push.Tree, Now);
  }
}

void Disseminator::resetUnresponsiveStreams(TimePoint Now) {
  for (const PendingPush &Push : this->Pushes.removeUnresponsive(Now)) {
    const VersionId Version = this->store(Push.Kind).currentId();
    this->Actions.emplace_back(ResetStalledStream{Push.Peer});
    this->Actions.emplace_back(SendControl{
        Push.Peer, OfferMessage{.Kind = Push.Kind, .Version = Version}});
  }
}

void Disseminator::onSendFailed(const Address &To, TimePoint Now) {
  this->bypassReceivers(this->Pushes.removeFailed(To), Now);
  for (ResourceState &Resource : this->Resources)
    Resource.Pulls.onSendFailed(To);
}

void Disseminator::announceLocalState(TimePoint Now) {
  this->forwardAnnouncements({this->Members.local()}, Address());
  for (const Address &Root : this->domainRoots())
    this->Actions.emplace_back(
        SendControl{Root, AnnouncementsMessage{{this->Members.local()}}});
  this->NextDigest = Now;
}

void Disseminator::forwardAnnouncements(
    const std::vector<MemberAnnouncement> &Announcements, const Address &From) {
  const auto FanOut = static_cast<size_t>(this->CurrentPolicy.FanOut);
  for (const Address &Child : this->Nodes.localChildren(FanOut))
    if (Child != From)
      this->Actions.emplace_back(
          SendControl{Child, AnnouncementsMessage{Announcements}});
}

} // namespace bluebellbarrow
