/**
 * \file
 * Disseminator: digests, control messages, reads and queries to peers.
 */

#include "disseminator.h"

#include <algorithm>

namespace bluebellbarrow {

namespace {

constexpr std::array<ResourceKind, ResourceKindCount> Kinds = {
    ResourceKind::Config, ResourceKind::VmList};
constexpr Duration PeerQueryInterval = milliseconds(200);

/** Time after which a starting node reads the VM list without its seeds. */
constexpr Duration SeedTimeout = milliseconds(600);
/** First and longest interval between queries of a starting node to seeds. */
constexpr Duration MinSeedPeriod = milliseconds(50);
constexpr Duration MaxSeedPeriod = milliseconds(200);
/** Interval between queries to seeds while no node is listed. */
constexpr Duration UnlistedQueryInterval = milliseconds(500);
/** Time for which a starting node waits after the last useful digest. */
constexpr Duration MaxUsefulDigestAge = milliseconds(600);
/** Longest time for which a starting node waits for its seeds to read. */
constexpr Duration MaxSeedWait = milliseconds(2500);

/** Time allowed for a long poll to end after its timeout. */
constexpr Duration ReadGrace = seconds(2);
constexpr Duration TransferWindowLength = milliseconds(250);
constexpr uint32_t BusyRetryMs = 200;

/** Factor on MaxTransfers at a node that is no slow reader. */
constexpr int64_t FastReaderFactor = 4;
constexpr size_t LargeTransferBytes = size_t{16} * 1024;

/** Maximum number of nodes notified of a version that a starting node read. */
constexpr size_t MaxNotified = 32;

constexpr size_t QueriedDomainPeers = 6;
constexpr size_t QueriedRemotePeers = 6;
/** Peers of the same domain, and of others, queried for read status. */
constexpr size_t ReadStatusPeers = 3;
constexpr size_t MaxDigestAnnouncements = 4;

bool isLarge(const TransferMessage &Message) {
  size_t Bytes = 0;
  for (const std::string &Text : Message.Texts)
    Bytes += Text.size();
  return Bytes >= LargeTransferBytes;
}

} // namespace

void Disseminator::onMessage(const Address &From, const ControlMessage &Message,
                             TimePoint Now) {
  if (const auto *Offer = std::get_if<OfferMessage>(&Message))
    this->onOffer(From, *Offer, Now);
  else if (const auto *Transfer = std::get_if<TransferMessage>(&Message))
    this->onTransfer(From, *Transfer, Now);
  else if (const auto *Ack = std::get_if<AckMessage>(&Message))
    this->Pushes.onAck(From, Ack->Kind, toVersionTag(Ack->Version));
  else if (const auto *Pull = std::get_if<PullMessage>(&Message))
    this->onPull(From, *Pull, Now);
  else if (const auto *Busy = std::get_if<BusyMessage>(&Message))
    this->resource(Busy->Kind).Pulls.onBusy(From, *Busy, Now);
  else if (const auto *Update = std::get_if<AnnouncementsMessage>(&Message))
    this->onAnnouncements(From, *Update, Now);
}

void Disseminator::onOffer(const Address &From, const OfferMessage &Message,
                           TimePoint Now) {
  ResourceState &State = this->resource(Message.Kind);
  this->Actions.emplace_back(SendControl{
      From, AckMessage{.Kind = Message.Kind, .Version = Message.Version}});
  if (Message.Kind == ResourceKind::Config)
    this->Startup.onPeerVersion(toVersionTag(Message.Version), Now);
  if (State.Tracker.classify(Message.Version) == VersionStatus::Candidate)
    State.Pulls.onOffer(From, toVersionTag(Message.Version), Now);
}

void Disseminator::onTransfer(const Address &From,
                              const TransferMessage &Message, TimePoint Now) {
  ResourceState &State = this->resource(Message.Kind);
  if (Message.Pushed)
    this->Actions.emplace_back(SendControl{
        From, AckMessage{.Kind = Message.Kind, .Version = Message.Version}});
  else
    State.Pulls.onTransfer(From);
  if (State.Tracker.classify(Message.Version) != VersionStatus::Candidate)
    return;
  const Result<FullVersionPtr> Version = State.Store.rebuild(Message);
  if (Version) {
    this->acceptVersion(
        Message.Kind, Version.value(),
        {.Kind = Message.Pushed ? SourceKind::Push : SourceKind::Pull,
         .Name = From.str(),
         .Tree = Message.Tree},
        Now);
    return;
  }
  if (Version.error().Code == Errc::NotFound) {
    State.Pulls.startPull(From, State.Tracker.current(), Now, this->Actions);
    return;
  }
  this->audit(AuditKind::DigestMismatch, Message.Kind, Message.Version,
              From.str(), Version.error().message());
}

int64_t Disseminator::maxTransfers() const {
  const int64_t Limit = this->CurrentPolicy.MaxTransfers;
  return this->Options.IsSlowReader ? std::max<int64_t>(1, Limit / 2)
                                    : Limit * FastReaderFactor;
}

void Disseminator::onPull(const Address &From, const PullMessage &Message,
                          TimePoint Now) {
  const VersionStore &Store = this->store(Message.Kind);
  BusyMessage Busy{.Kind = Message.Kind, .RetryAfterMs = BusyRetryMs};
  if (Store.current() == nullptr || this->inHoldDown(Now)) {
    this->Actions.emplace_back(SendControl{From, Busy});
    return;
  }
  TransferMessage Transfer = Store.makeTransfer(Message.CurrentVersion);
  if (isLarge(Transfer)) {
    if (Now - this->TransferWindowStart >= TransferWindowLength) {
      this->TransferWindowStart = Now;
      this->TransfersInWindow = 0;
    }
    if (this->TransfersInWindow >= this->maxTransfers()) {
      Busy.AlternatePeer =
          this->LastServedPeer == From ? Address() : this->LastServedPeer;
      this->Actions.emplace_back(SendControl{From, Busy});
      return;
    }
    this->TransfersInWindow += 1;
    this->LastServedPeer = From;
  }
  this->Actions.emplace_back(SendControl{From, std::move(Transfer)});
}

void Disseminator::onAnnouncements(const Address &From,
                                   const AnnouncementsMessage &Message,
                                   TimePoint Now) {
  std::vector<MemberAnnouncement> Changed;
  for (const MemberAnnouncement &Announcement : Message.Announcements)
    if (this->mergeAnnouncement(Announcement, From, Now))
      Changed.push_back(Announcement);
  if (!Changed.empty())
    this->forwardAnnouncements(Changed, From);
}

void Disseminator::onDigest(const Address &From, const DigestMessage &Digest,
                            TimePoint Now) {
  if (Digest.Mesh != this->Mesh)
    return;
  if (Digest.Purpose == DigestPurpose::Query)
    this->sendDigest(From, DigestPurpose::Response, Now);
  if (Digest.Sender.Name.empty() || Digest.Sender.Name == this->Options.Self)
    return;
  this->recordIfUseful(Digest, Now);
  this->HoldDownUntil = std::min(this->HoldDownUntil, Now);
  this->mergeAnnouncement(Digest.Sender, From, Now);
  for (const MemberAnnouncement &Announcement : Digest.Announcements)
    this->mergeAnnouncement(Announcement, From, Now);
  if (this->Schedule.onPeerReadStatus(Digest.Sender.Name, Digest.PlatformReads,
                                      Now))
    this->notifyChildren(Now);
  this->compareVersions(From, Digest, Now);
}

void Disseminator::compareVersions(const Address &From,
                                   const DigestMessage &Digest, TimePoint Now) {
  bool PeerIsBehind = false;
  this->Startup.onPeerVersion(Digest.Versions[0], Now);
  for (const ResourceKind Kind : Kinds) {
    ResourceState &State = this->resource(Kind);
    const VersionTag &Tag = Digest.Versions[static_cast<size_t>(Kind)];
    const VersionTag Current = toVersionTag(State.Tracker.current());
    this->Pushes.onAck(From, Kind, Tag);
    if (State.Tracker.isCandidate(Tag))
      State.Pulls.onNewerVersion(From, Tag, !this->Startup.isComplete(), Now);
    PeerIsBehind = PeerIsBehind || Tag < Current;
  }
  const bool Unsolicited = Digest.Purpose == DigestPurpose::Periodic ||
                           Digest.Purpose == DigestPurpose::ReadUpdate;
  if (PeerIsBehind && Unsolicited)
    this->sendDigest(From, DigestPurpose::Response, Now);
}

DigestMessage Disseminator::makeDigest(DigestPurpose Purpose,
                                       TimePoint Now) const {
  DigestMessage Digest{.Mesh = this->Mesh,
                       .Purpose = Purpose,
                       .Sender = this->Members.local(),
                       .Versions = {},
                       .PlatformReads = this->Schedule.readStatus(Now),
                       .Announcements = {}};
  if (Purpose != DigestPurpose::ReadUpdate)
    Digest.Announcements = this->Members.recentUpdates(MaxDigestAnnouncements);
  for (const ResourceKind Kind : Kinds)
    Digest.Versions[static_cast<size_t>(Kind)] =
        toVersionTag(this->versionTracker(Kind).current());
  return Digest;
}

void Disseminator::sendDigest(const Address &To, DigestPurpose Purpose,
                              TimePoint Now) {
  this->Actions.emplace_back(SendDigest{To, this->makeDigest(Purpose, Now)});
}

void Disseminator::queryPeers(size_t InDomain, size_t Remote, TimePoint Now) {
  for (size_t Count = 0; Count < InDomain; ++Count)
    if (const Vm *Peer = this->Nodes.drawDomainPeer(this->Random))
      this->sendDigest(Peer->Ip, DigestPurpose::Query, Now);
  for (size_t Count = 0; Count < Remote; ++Count)
    if (const Vm *Peer = this->Nodes.drawRemotePeer(this->Random))
      this->sendDigest(Peer->Ip, DigestPurpose::Query, Now);
}

void Disseminator::pollBootstrap(TimePoint Now) {
  if (this->Startup.isComplete())
    return;
  if (this->Options.MonotonicPlatform) {
    this->pollMonotonicBootstrap(Now);
    return;
  }
  if (Now < this->NextQuery)
    return;
  this->NextQuery = Now + PeerQueryInterval;
  if (this->Nodes.size() == 0) {
    for (const Address &Seed : this->Options.Seeds)
      this->sendDigest(Seed, DigestPurpose::Query, Now);
    const Duration Timeout =
        this->Options.Seeds.empty() ? Duration::zero() : SeedTimeout;
    if (Now - this->StartedAt >= Timeout)
      this->startRead(ResourceKind::VmList, Duration::zero(), Now);
    return;
  }
  this->Startup.onPeersQueried(Now);
  const VersionTag Current =
      toVersionTag(this->versionTracker(ResourceKind::Config).current());
  const BootstrapOutcome Outcome = this->Startup.poll(Current, Now);
  if (Outcome == BootstrapOutcome::Pending) {
    this->queryPeers(QueriedDomainPeers, QueriedRemotePeers, Now);
    return;
  }
  this->completeBootstrap(Outcome == BootstrapOutcome::CaughtUp
                              ? "peers told the newest version"
                          : Outcome == BootstrapOutcome::NoPeerVersion
                              ? "peers were silent"
                              : "peers could not hand it over",
                          Now);
}

void Disseminator::pollMonotonicBootstrap(TimePoint Now) {
  const bool HasConfig =
      !this->versionTracker(ResourceKind::Config).current().isNone();
  const bool HasList =
      !this->versionTracker(ResourceKind::VmList).current().isNone();
  if (HasConfig && HasList) {
    this->Startup.complete();
    this->completeBootstrap("has a version and a list", Now);
    this->announceLocalState(Now);
    this->notifyStartingNodes(Now);
    return;
  }
  if (Now >= this->NextQuery) {
    this->SeedQueryInterval =
        std::clamp(this->SeedQueryInterval * 2, MinSeedPeriod, MaxSeedPeriod);
    this->NextQuery = Now + this->SeedQueryInterval;
    this->querySeed(Now);
  }
  if (this->shouldWaitForSeeds(Now))
    return;
  for (const ResourceKind Kind : Kinds)
    this->startRead(Kind, this->CurrentPolicy.WatchTimeout, Now);
}

void Disseminator::notifyStartingNodes(TimePoint Now) {
  // Without a read, the version came from a seed, which others query as well.
  if (!this->HasReadPlatform)
    return;
  const std::vector<Vm> &Peers = this->Nodes.domainMembers();
  const size_t First = this->Random() % std::max<size_t>(1, Peers.size());
  for (size_t Count = 0; Count < std::min(MaxNotified, Peers.size()); ++Count) {
    const Vm &Peer = Peers[(First + Count) % Peers.size()];
    if (Peer.Name != this->Options.Self)
      this->sendDigest(Peer.Ip, DigestPurpose::ReadUpdate, Now);
  }
}

void Disseminator::querySeed(TimePoint Now) {
  std::vector<Address> Others = this->Options.Seeds;
  std::erase(Others, this->Options.Ip);
  if (Others.empty())
    return;
  // The first seed is random, which divides the load of simultaneous starts.
  if (!this->NextSeedIndex)
    this->NextSeedIndex = this->Random();
  this->sendDigest(Others[*this->NextSeedIndex % Others.size()],
                   DigestPurpose::Query, Now);
  *this->NextSeedIndex += 1;
}

bool Disseminator::isSeed() const {
  return std::find(this->Options.Seeds.begin(), this->Options.Seeds.end(),
                   this->Options.Ip) != this->Options.Seeds.end();
}

void Disseminator::recordIfUseful(const DigestMessage &Digest, TimePoint Now) {
  // A sender without a version is about to read it, but a slow reader may take
  // longer for it than this node.
  const bool Useful = !Digest.Versions[0].isNone() ||
                      this->Options.IsSlowReader || !Digest.Sender.IsSlowReader;
  if (Useful)
    this->LastUsefulDigest = Now;
}

bool Disseminator::shouldWaitForSeeds(TimePoint Now) const {
  const Duration Waited = Now - this->StartedAt;
  if (Waited < this->Options.PeerSilenceTimeout)
    return true;
  const bool IsRecent = this->LastUsefulDigest &&
                        Now - *this->LastUsefulDigest < MaxUsefulDigestAge;
  return !this->isSeed() && IsRecent && Waited < MaxSeedWait;
}

void Disseminator::completeBootstrap(const std::string &Cause, TimePoint Now) {
  this->Schedule.restartTakeoverDelay(Now);
  this->audit(AuditKind::Bootstrapped, ResourceKind::Config,
              this->versionTracker(ResourceKind::Config).current(), "self",
              Cause);
}

void Disseminator::pollReads(TimePoint Now) {
  this->countOpenWatchesAsReads(Now);
  this->advanceFetch(Now);
  const bool Direct = this->CurrentPolicy.Strategy == "direct";
  if (!this->Startup.isComplete() || this->inHoldDown(Now))
    return;
  if (!Direct && !this->Schedule.shouldRead(Now))
    return;
  for (const ResourceKind Kind : Kinds)
    this->startRead(Kind, this->CurrentPolicy.WatchTimeout, Now);
}

void Disseminator::countOpenWatchesAsReads(TimePoint Now) {
  for (const ResourceKind Kind : Kinds) {
    const WatchState &Read = this->resource(Kind).Watch;
    const bool Open = Read.InFlight && Read.LastSucceeded &&
                      Now - Read.StartedAt <= Read.LongPollTimeout + ReadGrace;
    // Shorter watches end often enough for their results to count as reads.
    if (Open && Read.LongPollTimeout > this->CurrentPolicy.ReadTakeoverAge)
      this->onReadSucceeded(Now);
  }
}

void Disseminator::startRead(ResourceKind Kind, Duration Wait, TimePoint Now) {
  WatchState &Read = this->resource(Kind).Watch;
  if (Read.InFlight || Now < Read.NotBefore)
    return;
  Read.InFlight = true;
  Read.StartedAt = Now;
  Read.LongPollTimeout = Wait;
  this->Actions.emplace_back(ReadPlatform{
      .Kind = Kind, .ChangedSince = Read.Revision, .LongPollTimeout = Wait});
}

void Disseminator::pollDigests(TimePoint Now) {
  if (Now < this->NextDigest || this->Nodes.size() == 0)
    return;
  const int64_t Mean = toMicroseconds(this->CurrentPolicy.DigestPeriod);
  std::uniform_int_distribution<int64_t> Jitter(Mean * 9 / 10, Mean * 11 / 10);
  this->NextDigest = Now + microseconds(Jitter(this->Random));
  for (int64_t Count = 0; Count < this->CurrentPolicy.DigestPeers; ++Count) {
    const bool SameDomain = this->DigestCount++ % 2 == 0;
    const Vm *Peer = SameDomain ? this->Nodes.drawDomainPeer(this->Random)
                                : this->Nodes.drawRemotePeer(this->Random);
    if (Peer != nullptr)
      this->sendDigest(Peer->Ip, DigestPurpose::Periodic, Now);
  }
}

void Disseminator::pollPeerQueries(TimePoint Now) {
  // A node that is not listed yet knows no peers but its seeds.
  if (this->Startup.isComplete() && this->Nodes.size() == 0 &&
      Now >= this->NextQuery) {
    this->NextQuery = Now + UnlistedQueryInterval;
    this->querySeed(Now);
  }
  if (!this->Startup.isComplete() || !this->Schedule.shouldQueryPeers(Now))
    return;
  this->Schedule.onPeersQueried(Now);
  this->queryPeers(ReadStatusPeers, ReadStatusPeers, Now);
}

} // namespace bluebellbarrow
