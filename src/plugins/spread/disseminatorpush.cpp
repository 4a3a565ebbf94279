/**
 * \file
 * The part of Spread that hands on versions and announcements: down the tree of
 * the own domain, and to the other domains.
 */

#include "disseminator.h"

#include <algorithm>

namespace bluebellbarrow {

namespace {

/** First nodes in the order of reading that are told of reads directly. */
constexpr size_t ToldPlaces = 4;

/** Children of a node with a wide link, at least. */
constexpr int64_t QuickFanOut = 16;

/** Bytes of a change from which on a node with a thin link only offers it. */
constexpr size_t LargePushBytes = size_t{8} * 1024;

size_t textBytes(const TransferMessage &Message) {
  size_t Bytes = 0;
  for (const std::string &Each : Message.Texts)
    Bytes += Each.size();
  return Bytes;
}

} // namespace

void Disseminator::notifyNextReaders(TimePoint Now) {
  for (const Address &Root : this->domainRoots())
    this->sendDigest(Root, DigestPurpose::ReadUpdate, Now);
  // Those that would read next learn of it even when the tree has a gap.
  for (const VmName &Name : this->Order.firstNodes(ToldPlaces))
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
  std::vector<Address> Heads;
  for (const Address &Root : this->Nodes.remoteRoots()) {
    const Vm *First = this->Order.firstInDomain(
        this->Nodes.findByAddress(Root)->Domain, VmName());
    Heads.push_back(First->Ip);
  }
  return Heads;
}

PushTree Disseminator::makeLocalTree() const {
  const int64_t FanOut =
      this->Options.IsSlowReader
          ? this->CurrentPolicy.FanOut
          : std::max(this->CurrentPolicy.FanOut, QuickFanOut);
  return {.Root = this->Options.Ip, .FanOut = static_cast<uint16_t>(FanOut)};
}

void Disseminator::forwardVersion(ResourceKind Kind, const VersionSource &Came,
                                  TimePoint Now) {
  if (this->inHoldDown(Now) || this->CurrentPolicy.Strategy != "tree")
    return;
  const Address From(Came.From);
  if (Came.Kind == SourceKind::Push) {
    this->pushToChildren(
        Kind, Came.Tree.ReceiverIsRoot ? this->makeLocalTree() : Came.Tree,
        From, Now);
    return;
  }
  // The node that reads brings the content to the other domains; whoever else
  // has read once, or has pulled, only offers it.
  const bool Reads =
      Came.Kind == SourceKind::Platform && this->Schedule.isReading();
  if (Reads) {
    this->pushToChildren(Kind, this->makeLocalTree(), From, Now);
    for (const Address &Head : this->remoteRelays())
      this->push(Head, Kind, {.ReceiverIsRoot = true}, Now);
    return;
  }
  std::vector<Address> Told = this->Nodes.localChildren(
      static_cast<size_t>(this->CurrentPolicy.FanOut));
  const std::vector<Address> Roots = this->domainRoots();
  Told.insert(Told.end(), Roots.begin(), Roots.end());
  for (const Address &Each : Told)
    if (Each != From)
      this->offer(Each, Kind, Now);
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

void Disseminator::bypassReceivers(const std::vector<PendingPush> &Lost,
                                   TimePoint Now) {
  for (const PendingPush &Each : Lost) {
    const Vm *Peer = this->Nodes.findByAddress(Each.Peer);
    if (Each.Tree.ReceiverIsRoot && Peer != nullptr) {
      const Vm *Next = this->Order.firstInDomain(Peer->Domain, Peer->Name);
      if (Next != nullptr)
        this->push(Next->Ip, Each.Kind, Each.Tree, Now);
      continue;
    }
    const size_t FanOut = Each.Tree.FanOut > 0
                              ? Each.Tree.FanOut
                              : static_cast<size_t>(this->CurrentPolicy.FanOut);
    for (const Address &Child :
         this->Nodes.children(Each.Peer, Each.Tree.Root, FanOut))
      this->push(Child, Each.Kind, Each.Tree, Now);
  }
}

void Disseminator::resetUnresponsiveStreams(TimePoint Now) {
  for (const PendingPush &Each : this->Pushes.removeUnresponsive(Now)) {
    const VersionId Version = this->store(Each.Kind).currentId();
    this->Actions.emplace_back(ResetStalledStream{Each.Peer});
    this->Actions.emplace_back(SendControl{
        Each.Peer, OfferMessage{.Kind = Each.Kind, .Version = Version}});
  }
}

void Disseminator::onSendFailed(const Address &To, TimePoint Now) {
  this->bypassReceivers(this->Pushes.removeFailed(To), Now);
  for (ResourceState &Each : this->Resources)
    Each.Pulls.onSendFailed(To);
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
