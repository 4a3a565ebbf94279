/**
 * \file
 * The part of Spread that hands on versions and announcements: down the tree of
 * the own domain, and to the other domains.
 */

#include "spread.h"

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

void Spread::tellNextReaders(TimePoint Now) {
  for (const Address &Root : this->roots())
    this->sendDigest(Root, DigestPurpose::ReadNews, Now);
  // Those that would read next learn of it even when the tree has a gap.
  for (const VmName &Name : this->Readers.first(ToldPlaces))
    if (Name != this->Options.Self)
      this->sendDigest(this->Nodes.findByName(Name)->Ip,
                       DigestPurpose::ReadNews, Now);
}

void Spread::tellChildren(TimePoint Now) {
  if (this->Tuning.Strategy != "tree")
    return;
  const auto FanOut = static_cast<size_t>(this->Tuning.FanOut);
  for (const Address &Child : this->Nodes.ownChildren(FanOut))
    this->sendDigest(Child, DigestPurpose::ReadNews, Now);
}

std::vector<Address> Spread::roots() const {
  std::vector<Address> Roots = this->Nodes.otherRoots();
  const auto &Members = this->Nodes.domainMembers();
  if (!Members.empty() && this->Nodes.rank() > 0)
    Roots.push_back(Members.front().Ip);
  return Roots;
}

std::vector<Address> Spread::otherHeads() const {
  std::vector<Address> Heads;
  for (const Address &Root : this->Nodes.otherRoots()) {
    const Vm *First = this->Readers.firstIn(
        this->Nodes.findByAddress(Root)->Domain, VmName());
    Heads.push_back(First->Ip);
  }
  return Heads;
}

PushTree Spread::ownTree() const {
  const int64_t FanOut = this->Options.ReadsSlowly
                             ? this->Tuning.FanOut
                             : std::max(this->Tuning.FanOut, QuickFanOut);
  return {.Root = this->Options.Ip, .FanOut = static_cast<uint16_t>(FanOut)};
}

void Spread::forward(ItemKind Kind, const Arrival &Came, TimePoint Now) {
  if (this->holding(Now) || this->Tuning.Strategy != "tree")
    return;
  const Address From(Came.From);
  if (Came.How == Origin::Push) {
    this->pushDown(Kind, Came.Tree.ReceiverIsRoot ? this->ownTree() : Came.Tree,
                   From, Now);
    return;
  }
  // The node that reads brings the content to the other domains; whoever else
  // has read once, or has pulled, only offers it.
  const bool Reads = Came.How == Origin::Platform && this->Schedule.reads();
  if (Reads) {
    this->pushDown(Kind, this->ownTree(), From, Now);
    for (const Address &Head : this->otherHeads())
      this->push(Head, Kind, {.ReceiverIsRoot = true}, Now);
    return;
  }
  std::vector<Address> Told =
      this->Nodes.ownChildren(static_cast<size_t>(this->Tuning.FanOut));
  const std::vector<Address> Roots = this->roots();
  Told.insert(Told.end(), Roots.begin(), Roots.end());
  for (const Address &Each : Told)
    if (Each != From)
      this->offer(Each, Kind, Now);
}

void Spread::pushDown(ItemKind Kind, const PushTree &Tree, const Address &From,
                      TimePoint Now) {
  const size_t FanOut =
      Tree.FanOut > 0 ? Tree.FanOut : static_cast<size_t>(this->Tuning.FanOut);
  for (const Address &Child :
       this->Nodes.children(this->Options.Ip, Tree.Root, FanOut))
    if (Child != From)
      this->push(Child, Kind, Tree, Now);
}

void Spread::push(const Address &To, ItemKind Kind, const PushTree &Tree,
                  TimePoint Now) {
  const CatalogStore &Store = this->store(Kind);
  TransferMessage Message = Store.transferFrom(Store.previousId());
  const bool TooLarge =
      this->Options.ReadsSlowly && textBytes(Message) >= LargePushBytes;
  if (TooLarge || !this->Tuning.PushContent) {
    this->offer(To, Kind, Now);
    return;
  }
  Message.Pushed = true;
  Message.Tree = Tree;
  this->Actions.emplace_back(SendControl{To, std::move(Message)});
  this->Pushes.add({.Peer = To,
                    .Kind = Kind,
                    .Version = tagOf(Store.currentId()),
                    .Tree = Tree,
                    .Deadline = Now + this->Tuning.AckLimit});
}

void Spread::offer(const Address &To, ItemKind Kind, TimePoint Now) {
  const VersionId Version = this->store(Kind).currentId();
  this->Actions.emplace_back(
      SendControl{To, OfferMessage{.Kind = Kind, .Version = Version}});
  this->Pushes.add({.Peer = To,
                    .Kind = Kind,
                    .Version = tagOf(Version),
                    .Tree = {},
                    .Deadline = Now + this->Tuning.AckLimit});
}

void Spread::adopt(const std::vector<OpenPush> &Lost, TimePoint Now) {
  for (const OpenPush &Each : Lost) {
    const Vm *Peer = this->Nodes.findByAddress(Each.Peer);
    if (Each.Tree.ReceiverIsRoot && Peer != nullptr) {
      const Vm *Next = this->Readers.firstIn(Peer->Domain, Peer->Name);
      if (Next != nullptr)
        this->push(Next->Ip, Each.Kind, Each.Tree, Now);
      continue;
    }
    const size_t FanOut = Each.Tree.FanOut > 0
                              ? Each.Tree.FanOut
                              : static_cast<size_t>(this->Tuning.FanOut);
    for (const Address &Child :
         this->Nodes.children(Each.Peer, Each.Tree.Root, FanOut))
      this->push(Child, Each.Kind, Each.Tree, Now);
  }
}

void Spread::renewSilent(TimePoint Now) {
  for (const OpenPush &Each : this->Pushes.takeSilent(Now)) {
    const VersionId Version = this->store(Each.Kind).currentId();
    this->Actions.emplace_back(RenewLink{Each.Peer});
    this->Actions.emplace_back(SendControl{
        Each.Peer, OfferMessage{.Kind = Each.Kind, .Version = Version}});
  }
}

void Spread::onSendFailed(const Address &To, TimePoint Now) {
  this->adopt(this->Pushes.takeFailed(To), Now);
  for (Stream &Each : this->Streams)
    Each.Pulls.onSendFailed(To);
}

void Spread::announceOwn(TimePoint Now) {
  this->forwardAnnouncements({this->Members.own()}, Address());
  for (const Address &Root : this->roots())
    this->Actions.emplace_back(
        SendControl{Root, AnnouncementsMessage{{this->Members.own()}}});
  this->NextDigest = Now;
}

void Spread::forwardAnnouncements(
    const std::vector<MemberAnnouncement> &Announcements, const Address &From) {
  const auto FanOut = static_cast<size_t>(this->Tuning.FanOut);
  for (const Address &Child : this->Nodes.ownChildren(FanOut))
    if (Child != From)
      this->Actions.emplace_back(
          SendControl{Child, AnnouncementsMessage{Announcements}});
}

} // namespace bluebellbarrow
