#include "disseminator.h"

#include "kernel/hashing.h"

#include <algorithm>

namespace bluebellbarrow {

namespace {

constexpr std::array<ResourceKind, ResourceKindCount> Kinds = {
    ResourceKind::Config, ResourceKind::VmList};

/** Tick period while work is pending. */
constexpr Duration BusyTickPeriod = milliseconds(25);

constexpr Duration IdleTickPeriod = milliseconds(100);
constexpr Duration MinTickPeriod = milliseconds(5);

/** Upper bound of the delay after the first failed read. */
constexpr Duration InitialReadBackoff = milliseconds(200);
constexpr int MaxBackoffDoublings = 5;

/** Longest hold-down; the first digest of a peer ends it earlier. */
constexpr Duration MaxHoldDown = milliseconds(500);

} // namespace

Disseminator::Disseminator(DisseminatorOptions NewOptions,
                           VersionValidator Validator,
                           SpreadPolicyLookup PolicyLookup, TimePoint Now)
    : Options(std::move(NewOptions)), Mesh(computeMeshId(this->Options.Mesh)),
      Validate(std::move(Validator)), LookUpPolicy(std::move(PolicyLookup)),
      CurrentPolicy(this->Options.InitialPolicy), Random(this->Options.Seed),
      Resources{ResourceState(ResourceKind::Config, this->Options.Seed + 1),
                ResourceState(ResourceKind::VmList, this->Options.Seed + 2)},
      Members(MemberAnnouncement{.Name = this->Options.Self,
                                 .Incarnation = this->Options.Incarnation,
                                 .Sequence = 1,
                                 .State = MemberState::Starting,
                                 .IsSlowReader = this->Options.IsSlowReader}),
      Order(this->Nodes, this->Members),
      Schedule({.IsSeed = this->isSeed()}, this->Options.Self, this->Order,
               this->Options.Seed + 3, Now),
      Startup(this->Options.PeerSilenceTimeout), StartedAt(Now),
      NextDigest(Now), NextQuery(Now), HoldDownUntil(Now),
      TransferWindowStart(Now) {}

DisseminatorActions Disseminator::drainActions() {
  DisseminatorActions Drained;
  Drained.swap(this->Actions);
  return Drained;
}

const VersionStore &Disseminator::store(ResourceKind Kind) const {
  return this->Resources[static_cast<size_t>(Kind)].Store;
}

const VersionTracker &Disseminator::versionTracker(ResourceKind Kind) const {
  return this->Resources[static_cast<size_t>(Kind)].Tracker;
}

void Disseminator::audit(AuditKind Kind, ResourceKind Resource,
                         const VersionId &Version, const std::string &Source,
                         const std::string &Detail) {
  this->Actions.emplace_back(AuditEvent{.Kind = Kind,
                                        .Resource = Resource,
                                        .Version = Version,
                                        .Source = Source,
                                        .Detail = Detail});
}

bool Disseminator::hasPendingWork(TimePoint Now) const {
  const bool HasPulls = std::any_of(
      this->Resources.begin(), this->Resources.end(),
      [](const ResourceState &Resource) { return !Resource.Pulls.isIdle(); });
  return !this->Startup.isComplete() || this->inHoldDown(Now) || HasPulls ||
         !this->Pushes.empty() || !this->Fetcher.pendingVersion().isNone() ||
         this->Schedule.isDueSoon(Now);
}

TimePoint Disseminator::nextTick(TimePoint Now) const {
  if (this->hasPendingWork(Now))
    return Now + BusyTickPeriod;
  TimePoint Due = std::min(Now + IdleTickPeriod, this->NextDigest);
  if (this->Schedule.isReading())
    for (const ResourceState &Resource : this->Resources)
      if (!Resource.Watch.InFlight)
        Due = std::min(Due, Resource.Watch.NotBefore);
  return std::max(Due, Now + MinTickPeriod);
}

void Disseminator::onTick(TimePoint Now) {
  this->pollBootstrap(Now);
  this->pollReads(Now);
  this->pollDigests(Now);
  this->pollPeerQueries(Now);
  this->bypassReceivers(this->Pushes.bypassOverdue(Now), Now);
  this->resetUnresponsiveStreams(Now);
  this->expireRetainedVms(Now);
  if (this->inHoldDown(Now))
    return;
  for (const ResourceKind Kind : Kinds)
    this->resource(Kind).Pulls.poll(this->versionTracker(Kind).current(), Now,
                                    this->Actions);
}

void Disseminator::onPlatformValue(ResourceKind Kind, uint64_t Revision,
                                   const std::string &Text, TimePoint Now) {
  WatchState &Read = this->resource(Kind).Watch;
  Read.InFlight = false;
  Read.NotBefore = Now + this->CurrentPolicy.MinReadInterval;
  if (this->inHoldDown(Now))
    return;
  Read.LastSucceeded = true;
  Read.Failures = 0;
  Read.Revision = std::max(Read.Revision, Revision);
  this->onReadSucceeded(Now);
  if (Kind == ResourceKind::Config)
    this->onConfigManifest(Text, Now);
  else
    this->onVmList(Text, Now);
}

void Disseminator::onPlatformUnchanged(ResourceKind Kind, TimePoint Now) {
  WatchState &Read = this->resource(Kind).Watch;
  Read.InFlight = false;
  Read.LastSucceeded = true;
  Read.Failures = 0;
  Read.NotBefore = Now;
  this->onReadSucceeded(Now);
}

void Disseminator::onReadSucceeded(TimePoint Now) {
  this->HasReadPlatform = true;
  // Others stop reading for a node that reads successfully, so a failed read of
  // another kind must not stay in its backoff.
  if (this->retryFailedReads(Now))
    return;
  const std::optional<Duration> PreviousAge =
      this->Schedule.lastSuccessAge(Now);
  this->Schedule.onReadSucceeded(Now);
  // Digests are only worth sending when the previous read is old enough for
  // others to wait for a newer one.
  if (PreviousAge && *PreviousAge < this->CurrentPolicy.ReadTakeoverAge / 3)
    return;
  this->notifyChildren(Now);
  this->notifyNextReaders(Now);
}

bool Disseminator::retryFailedReads(TimePoint Now) {
  bool HasFailed = false;
  for (ResourceState &Resource : this->Resources) {
    WatchState &Read = Resource.Watch;
    if (Read.Failures == 0)
      continue;
    HasFailed = true;
    Read.NotBefore = std::min(Read.NotBefore, Now);
  }
  return HasFailed;
}

void Disseminator::onPlatformFailed(ResourceKind Kind, TimePoint Now) {
  WatchState &Read = this->resource(Kind).Watch;
  Read.InFlight = false;
  Read.LastSucceeded = false;
  this->backOffRead(Read, Now);
  if (this->Schedule.onReadFailed(Now))
    this->notifyNextReaders(Now);
}

void Disseminator::backOffRead(WatchState &Read, TimePoint Now) {
  const int Doublings = std::min(Read.Failures, MaxBackoffDoublings);
  Read.Failures += 1;
  const int64_t MaxDelay = toMicroseconds(InitialReadBackoff) << Doublings;
  std::uniform_int_distribution<int64_t> Delay(MaxDelay / 2, MaxDelay);
  Read.NotBefore = Now + microseconds(Delay(this->Random));
}

void Disseminator::onConfigManifest(const std::string &Text, TimePoint Now) {
  const Result<Manifest> Parsed = parseManifest(Text);
  if (!Parsed || Parsed.value().Mesh != this->Options.Mesh) {
    const std::string Reason =
        Parsed ? "manifest of mesh '" + Parsed.value().Mesh + "'"
               : Parsed.error().message();
    this->audit(AuditKind::Refused, ResourceKind::Config, VersionId(),
                "platform", Reason);
    return;
  }
  ResourceState &Config = this->resource(ResourceKind::Config);
  const VersionId Version = computeVersionId(Parsed.value());
  const VersionStatus Status = Config.Tracker.classify(Version);
  if (Config.Tracker.conflicts(Version))
    this->audit(AuditKind::Conflict, ResourceKind::Config, Version, "platform",
                "in force: " + Config.Tracker.current().text());
  if (Status == VersionStatus::Older)
    this->audit(AuditKind::IgnoredOlder, ResourceKind::Config, Version,
                "platform", "in force: " + Config.Tracker.current().text());
  if (Status != VersionStatus::Candidate ||
      Version == this->Fetcher.pendingVersion())
    return;
  this->audit(AuditKind::Seen, ResourceKind::Config, Version, "platform", "");
  this->Fetcher.start(Parsed.value(), Now);
  this->advanceFetch(Now);
}

void Disseminator::onBlob(const Digest &Hash, const std::string *Text,
                          TimePoint Now) {
  if (!this->Fetcher.onBlob(Hash, Text, Now))
    this->audit(AuditKind::DigestMismatch, ResourceKind::Config,
                this->Fetcher.pendingVersion(), "platform",
                "value " + Hash.str());
  this->advanceFetch(Now);
}

void Disseminator::advanceFetch(TimePoint Now) {
  const VersionStore &Store = this->store(ResourceKind::Config);
  if (this->Fetcher.pendingVersion().isNone())
    return;
  const FullVersionPtr Complete = this->Fetcher.assemble(Store);
  if (Complete == nullptr) {
    this->Fetcher.poll(Store, Now, this->Actions);
    return;
  }
  this->Fetcher.cancel();
  this->acceptVersion(ResourceKind::Config, Complete,
                      {.Kind = SourceKind::Platform, .Name = "platform"}, Now);
}

void Disseminator::acceptVersion(ResourceKind Kind,
                                 const FullVersionPtr &Version,
                                 const VersionSource &Source, TimePoint Now) {
  const std::string &SourceName = Source.Name;
  ResourceState &State = this->resource(Kind);
  const VersionStatus Status = State.Tracker.classify(Version->Id);
  if (Status == VersionStatus::Older && Kind == ResourceKind::Config)
    this->audit(AuditKind::IgnoredOlder, Kind, Version->Id, SourceName, "");
  if (Status != VersionStatus::Candidate)
    return;
  if (Kind == ResourceKind::Config && State.Tracker.conflicts(Version->Id))
    this->audit(AuditKind::Conflict, Kind, Version->Id, SourceName,
                "in force: " + State.Tracker.current().text());
  if (const std::optional<Error> ValidationError =
          this->Validate(Kind, *Version)) {
    State.Tracker.refuse(Version->Id, ValidationError->message());
    this->audit(AuditKind::Refused, Kind, Version->Id, SourceName,
                ValidationError->message());
    return;
  }
  State.Tracker.setCurrent(Version->Id);
  State.Store.setCurrent(Version);
  State.Pulls.onApplied(toVersionTag(Version->Id));
  if (Kind == ResourceKind::VmList)
    this->applyVmList(Now);
  else
    this->CurrentPolicy = this->LookUpPolicy(*Version);
  this->Schedule.setOptions(
      {.ReaderCount = this->CurrentPolicy.ReaderCount,
       .TakeoverAge = this->CurrentPolicy.ReadTakeoverAge,
       .TakeoverStep = this->CurrentPolicy.ReadTakeoverStep,
       .IsSeed = this->isSeed()});
  this->audit(AuditKind::Applied, Kind, Version->Id, SourceName, "");
  this->Actions.emplace_back(CurrentVersionChanged{Kind});
  this->forwardVersion(Kind, Source, Now);
}

void Disseminator::setLocalState(MemberState State, TimePoint Now) {
  if (!this->Members.setLocalState(State))
    return;
  this->audit(AuditKind::StateChanged, ResourceKind::VmList, VersionId(),
              "self", memberStateName(State));
  this->announceLocalState(Now);
}

bool Disseminator::mergeAnnouncement(const MemberAnnouncement &Announcement,
                                     const Address &From, TimePoint Now) {
  if (Announcement.Name.empty())
    return false;
  if (Announcement.Name == this->Options.Self) {
    if (this->Members.merge(Announcement))
      this->announceLocalState(Now);
    return false;
  }
  if (const MemberAnnouncement *Newer =
          this->Members.newerIncarnation(Announcement)) {
    if (const Vm *Member = this->Nodes.findByName(Announcement.Name))
      this->Actions.emplace_back(
          SendControl{Member->Ip, AnnouncementsMessage{{*Newer}}});
    return false;
  }
  const MemberAnnouncement *Known = this->Members.find(Announcement.Name);
  const bool StateDiffers =
      Known == nullptr || Known->State != Announcement.State;
  if (!this->Members.merge(Announcement))
    return false;
  this->Schedule.onOrderChanged();
  const bool Leaves = Announcement.State == MemberState::Draining ||
                      Announcement.State == MemberState::Gone;
  if (StateDiffers && Leaves)
    this->audit(
        AuditKind::StateChanged, ResourceKind::VmList, VersionId(), From.str(),
        Announcement.Name.str() + " " + memberStateName(Announcement.State));
  this->Actions.emplace_back(MemberChanged{Announcement});
  return true;
}

void Disseminator::onPaused(Duration Length, TimePoint Now) {
  this->audit(AuditKind::Paused, ResourceKind::Config, VersionId(), "self",
              std::to_string(toMilliseconds(Length)) + " ms");
  this->HoldDownUntil = Now + MaxHoldDown;
  this->Schedule.clearLastSuccess();
  this->Pushes.clear();
  for (const ResourceKind Kind : Kinds)
    this->resource(Kind).Pulls.cancelAll();
  this->queryPeers(2, 1, Now);
}

} // namespace bluebellbarrow
