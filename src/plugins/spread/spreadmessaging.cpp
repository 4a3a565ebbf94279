/**
 * \file
 * The part of Spread that talks with peers: digests, control messages, and the
 * polls that start reads and questions.
 */

#include "spread.h"

#include <algorithm>

namespace bluebellbarrow {

namespace {

constexpr std::array<ItemKind, ItemKindCount> Kinds = {ItemKind::Config,
                                                       ItemKind::VmList};
constexpr Duration AskInterval = milliseconds(200);
constexpr Duration SeedSilence = milliseconds(600);

/** First and longest time between two questions of a start to its seeds. */
constexpr Duration FirstBootAsk = milliseconds(50);
constexpr Duration LongestBootAsk = milliseconds(200);

/** Time between two questions to seeds while no node is listed. */
constexpr Duration UnlistedAsk = milliseconds(500);

/** Time for which the answer of a seed counts as a promise of a version. */
constexpr Duration SeedPresence = milliseconds(600);

/** Longest time for which a start waits for what its seeds read. */
constexpr Duration LongestSeedWait = milliseconds(2500);

constexpr Duration ReadGrace = seconds(2);
constexpr Duration TransferWindowLength = milliseconds(250);
constexpr uint32_t BusyRetryMs = 200;

/** Multiple of the transfers that a node with a wide link serves at once. */
constexpr int64_t QuickTransfers = 4;

/** Bytes from which on a transfer counts against that number. */
constexpr size_t LargeTransferBytes = size_t{16} * 1024;

/** Nodes that are told of a version that a start has read. */
constexpr size_t ToldOfStart = 32;

constexpr size_t AskedInside = 6;
constexpr size_t AskedOutside = 6;

/** Peers of the own domain, and of others, that are asked about reads. */
constexpr size_t AskedForReads = 3;

constexpr size_t MaxNewsInDigest = 4;

bool isLarge(const TransferMessage &Message) {
  size_t Bytes = 0;
  for (const std::string &Each : Message.Texts)
    Bytes += Each.size();
  return Bytes >= LargeTransferBytes;
}

} // namespace

void Spread::onMessage(const Address &From, const ControlMessage &Message,
                       TimePoint Now) {
  if (const auto *Offer = std::get_if<OfferMessage>(&Message))
    this->onOffer(From, *Offer, Now);
  else if (const auto *Transfer = std::get_if<TransferMessage>(&Message))
    this->onTransfer(From, *Transfer, Now);
  else if (const auto *Ack = std::get_if<AckMessage>(&Message))
    this->Pushes.onAck(From, Ack->Kind, tagOf(Ack->Version));
  else if (const auto *Pull = std::get_if<PullMessage>(&Message))
    this->onPull(From, *Pull, Now);
  else if (const auto *Busy = std::get_if<BusyMessage>(&Message))
    this->stream(Busy->Kind).Pulls.onBusy(From, *Busy, Now);
  else if (const auto *Announcements =
               std::get_if<AnnouncementsMessage>(&Message))
    this->onAnnouncements(From, *Announcements, Now);
}

void Spread::onOffer(const Address &From, const OfferMessage &Message,
                     TimePoint Now) {
  Stream &Target = this->stream(Message.Kind);
  this->Actions.emplace_back(SendControl{
      From, AckMessage{.Kind = Message.Kind, .Version = Message.Version}});
  if (Message.Kind == ItemKind::Config)
    this->Boot.onHeard(tagOf(Message.Version), Now);
  if (Target.Ledger.judge(Message.Version) == Verdict::Wanted)
    Target.Pulls.onOffer(From, tagOf(Message.Version), Now);
}

void Spread::onTransfer(const Address &From, const TransferMessage &Message,
                        TimePoint Now) {
  Stream &Target = this->stream(Message.Kind);
  if (Message.Pushed)
    this->Actions.emplace_back(SendControl{
        From, AckMessage{.Kind = Message.Kind, .Version = Message.Version}});
  else
    Target.Pulls.onTransfer(From);
  if (Target.Ledger.judge(Message.Version) != Verdict::Wanted)
    return;

  const Result<WholeVersionPtr> Version = Target.Store.rebuild(Message);
  if (Version) {
    this->accept(Message.Kind, Version.value(),
                 {.How = Message.Pushed ? Origin::Push : Origin::Pull,
                  .From = From.str(),
                  .Tree = Message.Tree},
                 Now);
    return;
  }
  if (Version.error().Code == Errc::NotFound) {
    Target.Pulls.pull(From, Target.Ledger.inForce(), Now, this->Actions);
    return;
  }
  this->audit(AuditKind::DigestMismatch, Message.Kind, Message.Version,
              From.str(), Version.error().message());
}

int64_t Spread::mostTransfers() const {
  const int64_t Most = this->Tuning.MaxTransfers;
  return this->Options.ReadsSlowly ? std::max<int64_t>(1, Most / 2)
                                   : Most * QuickTransfers;
}

void Spread::onPull(const Address &From, const PullMessage &Message,
                    TimePoint Now) {
  const CatalogStore &Store = this->store(Message.Kind);
  BusyMessage Busy{.Kind = Message.Kind, .RetryAfter = BusyRetryMs};
  if (Store.current() == nullptr || this->holding(Now)) {
    this->Actions.emplace_back(SendControl{From, Busy});
    return;
  }
  TransferMessage Transfer = Store.transferFrom(Message.Have);
  if (isLarge(Transfer)) {
    if (Now - this->TransferWindow >= TransferWindowLength) {
      this->TransferWindow = Now;
      this->TransfersInWindow = 0;
    }
    if (this->TransfersInWindow >= this->mostTransfers()) {
      Busy.Other = this->LastServed == From ? Address() : this->LastServed;
      this->Actions.emplace_back(SendControl{From, Busy});
      return;
    }
    this->TransfersInWindow += 1;
    this->LastServed = From;
  }
  this->Actions.emplace_back(SendControl{From, std::move(Transfer)});
}

void Spread::onAnnouncements(const Address &From,
                             const AnnouncementsMessage &Message,
                             TimePoint Now) {
  std::vector<MemberAnnouncement> News;
  for (const MemberAnnouncement &Announced : Message.Announcements)
    if (this->mergeAnnouncement(Announced, From, Now))
      News.push_back(Announced);
  if (!News.empty())
    this->forwardAnnouncements(News, From);
}

void Spread::onDigest(const Address &From, const DigestMessage &Message,
                      TimePoint Now) {
  if (Message.Mesh != this->Mesh)
    return;
  if (Message.Purpose == DigestPurpose::Ask)
    this->sendDigest(From, DigestPurpose::Answer, Now);
  if (Message.Sender.Name.empty() || Message.Sender.Name == this->Options.Self)
    return;
  this->noteSeed(Message, Now);

  this->HoldUntil = std::min(this->HoldUntil, Now);
  this->mergeAnnouncement(Message.Sender, From, Now);
  for (const MemberAnnouncement &Announced : Message.News)
    this->mergeAnnouncement(Announced, From, Now);
  if (this->Schedule.onHeard(Message.Sender.Name, Message.Read, Now))
    this->tellChildren(Now);
  this->compareVersions(From, Message, Now);
}

void Spread::compareVersions(const Address &From, const DigestMessage &Message,
                             TimePoint Now) {
  bool PeerIsBehind = false;
  this->Boot.onHeard(Message.Versions[0], Now);
  for (const ItemKind Kind : Kinds) {
    Stream &Target = this->stream(Kind);
    const VersionTag &Theirs = Message.Versions[static_cast<size_t>(Kind)];
    const VersionTag Ours = tagOf(Target.Ledger.inForce());
    this->Pushes.onAck(From, Kind, Theirs);
    if (Target.Ledger.wants(Theirs))
      Target.Pulls.onNewer(From, Theirs, !this->Boot.settled(), Now);
    PeerIsBehind = PeerIsBehind || Theirs < Ours;
  }
  const bool Unasked = Message.Purpose == DigestPurpose::Round ||
                       Message.Purpose == DigestPurpose::ReadNews;
  if (PeerIsBehind && Unasked)
    this->sendDigest(From, DigestPurpose::Answer, Now);
}

DigestMessage Spread::digest(DigestPurpose Purpose, TimePoint Now) const {
  DigestMessage Message{.Mesh = this->Mesh,
                        .Purpose = Purpose,
                        .Sender = this->Members.own(),
                        .Versions = {},
                        .Read = this->Schedule.news(Now),
                        .News = {}};
  if (Purpose != DigestPurpose::ReadNews)
    Message.News = this->Members.recentNews(MaxNewsInDigest);
  for (const ItemKind Kind : Kinds)
    Message.Versions[static_cast<size_t>(Kind)] =
        tagOf(this->ledger(Kind).inForce());
  return Message;
}

void Spread::sendDigest(const Address &To, DigestPurpose Purpose,
                        TimePoint Now) {
  this->Actions.emplace_back(SendDigest{To, this->digest(Purpose, Now)});
}

void Spread::askPeers(size_t Inside, size_t Outside, TimePoint Now) {
  for (size_t Count = 0; Count < Inside; ++Count)
    if (const Vm *Peer = this->Nodes.drawInside(this->Random))
      this->sendDigest(Peer->Ip, DigestPurpose::Ask, Now);
  for (size_t Count = 0; Count < Outside; ++Count)
    if (const Vm *Peer = this->Nodes.drawOutside(this->Random))
      this->sendDigest(Peer->Ip, DigestPurpose::Ask, Now);
}

void Spread::pollBoot(TimePoint Now) {
  if (this->Boot.settled())
    return;
  if (this->Options.ExactPlatform) {
    this->pollExactBoot(Now);
    return;
  }
  if (Now < this->NextAsk)
    return;
  this->NextAsk = Now + AskInterval;
  if (this->Nodes.size() == 0) {
    for (const Address &Seed : this->Options.Seeds)
      this->sendDigest(Seed, DigestPurpose::Ask, Now);
    const Duration Silence =
        this->Options.Seeds.empty() ? Duration::zero() : SeedSilence;
    if (Now - this->Started >= Silence)
      this->startRead(ItemKind::VmList, Duration::zero(), Now);
    return;
  }
  this->Boot.onAsked(Now);
  const VersionTag InForce = tagOf(this->ledger(ItemKind::Config).inForce());
  const SettledBy Cause = this->Boot.poll(InForce, Now);
  if (Cause == SettledBy::NotYet) {
    this->askPeers(AskedInside, AskedOutside, Now);
    return;
  }
  this->settle(Cause == SettledBy::Peers     ? "peers told the newest version"
               : Cause == SettledBy::Silence ? "peers were silent"
                                             : "peers could not hand it over",
               Now);
}

void Spread::pollExactBoot(TimePoint Now) {
  const bool HasConfig = !this->ledger(ItemKind::Config).inForce().none();
  const bool HasList = !this->ledger(ItemKind::VmList).inForce().none();
  if (HasConfig && HasList) {
    this->Boot.settle();
    this->settle("has a version and a list", Now);
    this->announceOwn(Now);
    this->tellOthersThatStart(Now);
    return;
  }
  if (Now >= this->NextAsk) {
    this->BootAsk = std::clamp(this->BootAsk * 2, FirstBootAsk, LongestBootAsk);
    this->NextAsk = Now + this->BootAsk;
    this->askSeed(Now);
  }
  if (this->waitsForSeeds(Now))
    return;
  for (const ItemKind Kind : Kinds)
    this->startRead(Kind, this->Tuning.WatchWait, Now);
}

void Spread::tellOthersThatStart(TimePoint Now) {
  // Only one that read it itself: the others asked the same nodes as we did.
  if (!this->HasRead)
    return;
  const std::vector<Vm> &Members = this->Nodes.domainMembers();
  const size_t First = this->Random() % std::max<size_t>(1, Members.size());
  for (size_t Count = 0; Count < std::min(ToldOfStart, Members.size());
       ++Count) {
    const Vm &Each = Members[(First + Count) % Members.size()];
    if (Each.Name != this->Options.Self)
      this->sendDigest(Each.Ip, DigestPurpose::ReadNews, Now);
  }
}

void Spread::askSeed(TimePoint Now) {
  std::vector<Address> Others = this->Options.Seeds;
  std::erase(Others, this->Options.Ip);
  if (Others.empty())
    return;
  // A random first one, so that many starts do not ask the same seed.
  if (!this->SeedTurn)
    this->SeedTurn = this->Random();
  this->sendDigest(Others[*this->SeedTurn % Others.size()], DigestPurpose::Ask,
                   Now);
  *this->SeedTurn += 1;
}

bool Spread::isSeed() const {
  return std::find(this->Options.Seeds.begin(), this->Options.Seeds.end(),
                   this->Options.Ip) != this->Options.Seeds.end();
}

void Spread::noteSeed(const DigestMessage &Message, TimePoint Now) {
  // One that has no version yet reads it, but that may take it longer than us.
  const bool Helps = !Message.Versions[0].none() || this->Options.ReadsSlowly ||
                     !Message.Sender.ReadsSlowly;
  if (Helps)
    this->Promise = Now;
}

bool Spread::waitsForSeeds(TimePoint Now) const {
  const Duration Waited = Now - this->Started;
  if (Waited < this->Options.BootSilence)
    return true;
  const bool Promised = this->Promise && Now - *this->Promise < SeedPresence;
  return !this->isSeed() && Promised && Waited < LongestSeedWait;
}

void Spread::settle(const std::string &Cause, TimePoint Now) {
  this->Schedule.restart(Now);
  this->audit(AuditKind::Settled, ItemKind::Config,
              this->ledger(ItemKind::Config).inForce(), "self", Cause);
}

void Spread::pollReads(TimePoint Now) {
  this->countOpenWatches(Now);
  this->finishFetch(Now);
  const bool Direct = this->Tuning.Strategy == "direct";
  if (!this->Boot.settled() || this->holding(Now))
    return;
  if (!Direct && !this->Schedule.shouldRead(Now))
    return;
  for (const ItemKind Kind : Kinds)
    this->startRead(Kind, this->Tuning.WatchWait, Now);
}

void Spread::countOpenWatches(TimePoint Now) {
  for (const ItemKind Kind : Kinds) {
    const Watch &Read = this->stream(Kind).Read;
    const bool Open = Read.InFlight && Read.LastGood &&
                      Now - Read.Started <= Read.Wait + ReadGrace;
    // Short watches end often enough to show by their answers that they live.
    if (Open && Read.Wait > this->Tuning.ReadBase)
      this->onGoodRead(Now);
  }
}

void Spread::startRead(ItemKind Kind, Duration Wait, TimePoint Now) {
  Watch &Read = this->stream(Kind).Read;
  if (Read.InFlight || Now < Read.NotBefore)
    return;
  Read.InFlight = true;
  Read.Started = Now;
  Read.Wait = Wait;
  this->Actions.emplace_back(
      ReadPlatform{.Kind = Kind, .ChangedSince = Read.Revision, .Wait = Wait});
}

void Spread::pollDigests(TimePoint Now) {
  if (Now < this->NextDigest || this->Nodes.size() == 0)
    return;
  const int64_t Period = toMicroseconds(this->Tuning.DigestPeriod);
  std::uniform_int_distribution<int64_t> Draw(Period * 9 / 10,
                                              Period * 11 / 10);
  this->NextDigest = Now + microseconds(Draw(this->Random));
  for (int64_t Count = 0; Count < this->Tuning.DigestPeers; ++Count) {
    const bool Inside = this->DigestRound++ % 2 == 0;
    const Vm *Peer = Inside ? this->Nodes.drawInside(this->Random)
                            : this->Nodes.drawOutside(this->Random);
    if (Peer != nullptr)
      this->sendDigest(Peer->Ip, DigestPurpose::Round, Now);
  }
}

void Spread::pollAsk(TimePoint Now) {
  // Those that are not listed yet know nobody else.
  if (this->Boot.settled() && this->Nodes.size() == 0 && Now >= this->NextAsk) {
    this->NextAsk = Now + UnlistedAsk;
    this->askSeed(Now);
  }
  if (!this->Boot.settled() || !this->Schedule.shouldAsk(Now))
    return;
  this->Schedule.onAsked(Now);
  this->askPeers(AskedForReads, AskedForReads, Now);
}

} // namespace bluebellbarrow
