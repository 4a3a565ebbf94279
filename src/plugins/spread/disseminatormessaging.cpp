/**
 * \file
 * The part of Spread that talks with peers: digests, control messages, and the
 * polls that start reads and questions.
 */

#include "disseminator.h"

#include <algorithm>

namespace bluebellbarrow {

namespace {

constexpr std::array<ResourceKind, ResourceKindCount> Kinds = {
    ResourceKind::Config, ResourceKind::VmList};
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
  else if (const auto *Announcements =
               std::get_if<AnnouncementsMessage>(&Message))
    this->onAnnouncements(From, *Announcements, Now);
}

void Disseminator::onOffer(const Address &From, const OfferMessage &Message,
                           TimePoint Now) {
  ResourceState &Target = this->resource(Message.Kind);
  this->Actions.emplace_back(SendControl{
      From, AckMessage{.Kind = Message.Kind, .Version = Message.Version}});
  if (Message.Kind == ResourceKind::Config)
    this->Startup.onPeerVersion(toVersionTag(Message.Version), Now);
  if (Target.Tracker.classify(Message.Version) == VersionStatus::Candidate)
    Target.Pulls.onOffer(From, toVersionTag(Message.Version), Now);
}

void Disseminator::onTransfer(const Address &From,
                              const TransferMessage &Message, TimePoint Now) {
  ResourceState &Target = this->resource(Message.Kind);
  if (Message.Pushed)
    this->Actions.emplace_back(SendControl{
        From, AckMessage{.Kind = Message.Kind, .Version = Message.Version}});
  else
    Target.Pulls.onTransfer(From);
  if (Target.Tracker.classify(Message.Version) != VersionStatus::Candidate)
    return;

  const Result<FullVersionPtr> Version = Target.Store.rebuild(Message);
  if (Version) {
    this->acceptVersion(
        Message.Kind, Version.value(),
        {.Kind = Message.Pushed ? SourceKind::Push : SourceKind::Pull,
         .From = From.str(),
         .Tree = Message.Tree},
        Now);
    return;
  }
  if (Version.error().Code == Errc::NotFound) {
    Target.Pulls.startPull(From, Target.Tracker.current(), Now, this->Actions);
    return;
  }
  this->audit(AuditKind::DigestMismatch, Message.Kind, Message.Version,
              From.str(), Version.error().message());
}

int64_t Disseminator::maxTransfers() const {
  const int64_t Most = this->CurrentPolicy.MaxTransfers;
  return this->Options.IsSlowReader ? std::max<int64_t>(1, Most / 2)
                                    : Most * QuickTransfers;
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
  std::vector<MemberAnnouncement> News;
  for (const MemberAnnouncement &Announced : Message.Announcements)
    if (this->mergeAnnouncement(Announced, From, Now))
      News.push_back(Announced);
  if (!News.empty())
    this->forwardAnnouncements(News, From);
}

void Disseminator::onDigest(const Address &From, const DigestMessage &Message,
                            TimePoint Now) {
  if (Message.Mesh != this->Mesh)
    return;
  if (Message.Purpose == DigestPurpose::Query)
    this->sendDigest(From, DigestPurpose::Response, Now);
  if (Message.Sender.Name.empty() || Message.Sender.Name == this->Options.Self)
    return;
  this->recordSeedResponse(Message, Now);

  this->HoldDownUntil = std::min(this->HoldDownUntil, Now);
  this->mergeAnnouncement(Message.Sender, From, Now);
  for (const MemberAnnouncement &Announced : Message.Announcements)
    this->mergeAnnouncement(Announced, From, Now);
  if (this->Schedule.onPeerReadStatus(Message.Sender.Name, Message.ReadStatus,
                                      Now))
    this->notifyChildren(Now);
  this->compareVersions(From, Message, Now);
}

void Disseminator::compareVersions(const Address &From,
                                   const DigestMessage &Message,
                                   TimePoint Now) {
  bool PeerIsBehind = false;
  this->Startup.onPeerVersion(Message.Versions[0], Now);
  for (const ResourceKind Kind : Kinds) {
    ResourceState &Target = this->resource(Kind);
    const VersionTag &Theirs = Message.Versions[static_cast<size_t>(Kind)];
    const VersionTag Ours = toVersionTag(Target.Tracker.current());
    this->Pushes.onAck(From, Kind, Theirs);
    if (Target.Tracker.isCandidate(Theirs))
      Target.Pulls.onNewerVersion(From, Theirs, !this->Startup.isComplete(),
                                  Now);
    PeerIsBehind = PeerIsBehind || Theirs < Ours;
  }
  const bool Unasked = Message.Purpose == DigestPurpose::Periodic ||
                       Message.Purpose == DigestPurpose::ReadUpdate;
  if (PeerIsBehind && Unasked)
    this->sendDigest(From, DigestPurpose::Response, Now);
}

DigestMessage Disseminator::makeDigest(DigestPurpose Purpose,
                                       TimePoint Now) const {
  DigestMessage Message{.Mesh = this->Mesh,
                        .Purpose = Purpose,
                        .Sender = this->Members.local(),
                        .Versions = {},
                        .ReadStatus = this->Schedule.readStatus(Now),
                        .Announcements = {}};
  if (Purpose != DigestPurpose::ReadUpdate)
    Message.Announcements = this->Members.recentUpdates(MaxNewsInDigest);
  for (const ResourceKind Kind : Kinds)
    Message.Versions[static_cast<size_t>(Kind)] =
        toVersionTag(this->versionTracker(Kind).current());
  return Message;
}

void Disseminator::sendDigest(const Address &To, DigestPurpose Purpose,
                              TimePoint Now) {
  this->Actions.emplace_back(SendDigest{To, this->makeDigest(Purpose, Now)});
}

void Disseminator::queryPeers(size_t Inside, size_t Outside, TimePoint Now) {
  for (size_t Count = 0; Count < Inside; ++Count)
    if (const Vm *Peer = this->Nodes.drawDomainPeer(this->Random))
      this->sendDigest(Peer->Ip, DigestPurpose::Query, Now);
  for (size_t Count = 0; Count < Outside; ++Count)
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
  this->NextQuery = Now + AskInterval;
  if (this->Nodes.size() == 0) {
    for (const Address &Seed : this->Options.Seeds)
      this->sendDigest(Seed, DigestPurpose::Query, Now);
    const Duration Silence =
        this->Options.Seeds.empty() ? Duration::zero() : SeedSilence;
    if (Now - this->Started >= Silence)
      this->startRead(ResourceKind::VmList, Duration::zero(), Now);
    return;
  }
  this->Startup.onPeersQueried(Now);
  const VersionTag InForce =
      toVersionTag(this->versionTracker(ResourceKind::Config).current());
  const BootstrapOutcome Cause = this->Startup.poll(InForce, Now);
  if (Cause == BootstrapOutcome::Pending) {
    this->queryPeers(AskedInside, AskedOutside, Now);
    return;
  }
  this->completeBootstrap(
      Cause == BootstrapOutcome::CaughtUp      ? "peers told the newest version"
      : Cause == BootstrapOutcome::PeersSilent ? "peers were silent"
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
        std::clamp(this->SeedQueryInterval * 2, FirstBootAsk, LongestBootAsk);
    this->NextQuery = Now + this->SeedQueryInterval;
    this->querySeed(Now);
  }
  if (this->shouldWaitForSeeds(Now))
    return;
  for (const ResourceKind Kind : Kinds)
    this->startRead(Kind, this->CurrentPolicy.WatchTimeout, Now);
}

void Disseminator::notifyStartingNodes(TimePoint Now) {
  // Only one that read it itself: the others asked the same nodes as we did.
  if (!this->HasReadPlatform)
    return;
  const std::vector<Vm> &Members = this->Nodes.domainMembers();
  const size_t First = this->Random() % std::max<size_t>(1, Members.size());
  for (size_t Count = 0; Count < std::min(ToldOfStart, Members.size());
       ++Count) {
    const Vm &Each = Members[(First + Count) % Members.size()];
    if (Each.Name != this->Options.Self)
      this->sendDigest(Each.Ip, DigestPurpose::ReadUpdate, Now);
  }
}

void Disseminator::querySeed(TimePoint Now) {
  std::vector<Address> Others = this->Options.Seeds;
  std::erase(Others, this->Options.Ip);
  if (Others.empty())
    return;
  // A random first one, so that many starts do not ask the same seed.
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

void Disseminator::recordSeedResponse(const DigestMessage &Message,
                                      TimePoint Now) {
  // One that has no version yet reads it, but that may take it longer than us.
  const bool Helps = !Message.Versions[0].isNone() ||
                     this->Options.IsSlowReader || !Message.Sender.IsSlowReader;
  if (Helps)
    this->LastSeedResponse = Now;
}

bool Disseminator::shouldWaitForSeeds(TimePoint Now) const {
  const Duration Waited = Now - this->Started;
  if (Waited < this->Options.PeerSilenceTimeout)
    return true;
  const bool Promised =
      this->LastSeedResponse && Now - *this->LastSeedResponse < SeedPresence;
  return !this->isSeed() && Promised && Waited < LongestSeedWait;
}

void Disseminator::completeBootstrap(const std::string &Cause, TimePoint Now) {
  this->Schedule.restartWait(Now);
  this->audit(AuditKind::Settled, ResourceKind::Config,
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
                      Now - Read.Started <= Read.LongPollTimeout + ReadGrace;
    // Short watches end often enough to show by their answers that they live.
    if (Open && Read.LongPollTimeout > this->CurrentPolicy.ReadTakeoverAge)
      this->onReadSucceeded(Now);
  }
}

void Disseminator::startRead(ResourceKind Kind, Duration Wait, TimePoint Now) {
  WatchState &Read = this->resource(Kind).Watch;
  if (Read.InFlight || Now < Read.NotBefore)
    return;
  Read.InFlight = true;
  Read.Started = Now;
  Read.LongPollTimeout = Wait;
  this->Actions.emplace_back(ReadPlatform{
      .Kind = Kind, .ChangedSince = Read.Revision, .LongPollTimeout = Wait});
}

void Disseminator::pollDigests(TimePoint Now) {
  if (Now < this->NextDigest || this->Nodes.size() == 0)
    return;
  const int64_t Period = toMicroseconds(this->CurrentPolicy.DigestPeriod);
  std::uniform_int_distribution<int64_t> Draw(Period * 9 / 10,
                                              Period * 11 / 10);
  this->NextDigest = Now + microseconds(Draw(this->Random));
  for (int64_t Count = 0; Count < this->CurrentPolicy.DigestPeers; ++Count) {
    const bool Inside = this->DigestCount++ % 2 == 0;
    const Vm *Peer = Inside ? this->Nodes.drawDomainPeer(this->Random)
                            : this->Nodes.drawRemotePeer(this->Random);
    if (Peer != nullptr)
      this->sendDigest(Peer->Ip, DigestPurpose::Periodic, Now);
  }
}

void Disseminator::pollPeerQueries(TimePoint Now) {
  // Those that are not listed yet know nobody else.
  if (this->Startup.isComplete() && this->Nodes.size() == 0 &&
      Now >= this->NextQuery) {
    this->NextQuery = Now + UnlistedAsk;
    this->querySeed(Now);
  }
  if (!this->Startup.isComplete() || !this->Schedule.shouldQueryPeers(Now))
    return;
  this->Schedule.onPeersQueried(Now);
  this->queryPeers(AskedForReads, AskedForReads, Now);
}

} // namespace bluebellbarrow
