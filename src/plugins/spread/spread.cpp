#include "spread.h"

#include "kernel/hashing.h"

#include <algorithm>

namespace bluebellbarrow {

namespace {

constexpr std::array<ItemKind, ItemKindCount> Kinds = {ItemKind::Config,
                                                       ItemKind::VmList};
/** Time between two ticks while something is under way. */
constexpr Duration BusyTickPeriod = milliseconds(25);

constexpr Duration IdleTickPeriod = milliseconds(100);
constexpr Duration LeastTickPeriod = milliseconds(5);

constexpr Duration FirstReadDelay = milliseconds(200);
constexpr int MaxReadDoublings = 5;
constexpr Duration MaxHold = milliseconds(500);

} // namespace

Spread::Spread(SpreadOptions NewOptions, VersionCheck Check,
               SpreadPolicyOf PolicyOf, TimePoint Now)
    : Options(std::move(NewOptions)), Mesh(meshIdOf(this->Options.Mesh)),
      Check(std::move(Check)), PolicyOf(std::move(PolicyOf)),
      Tuning(this->Options.FirstPolicy),
      Random(this->Options.Seed), Streams{Stream(ItemKind::Config,
                                                 this->Options.Seed + 1),
                                          Stream(ItemKind::VmList,
                                                 this->Options.Seed + 2)},
      Members(MemberAnnouncement{.Name = this->Options.Self,
                                 .Life = this->Options.Life,
                                 .Sequence = 1,
                                 .State = MemberState::Starting,
                                 .ReadsSlowly = this->Options.ReadsSlowly}),
      Readers(this->Nodes, this->Members),
      Schedule({.IsSeed = this->isSeed()}, this->Options.Self, this->Readers,
               this->Options.Seed + 3, Now),
      Boot(this->Options.BootSilence), Started(Now), NextDigest(Now),
      NextAsk(Now), HoldUntil(Now), TransferWindow(Now) {}

SpreadActions Spread::takeActions() {
  SpreadActions Taken;
  Taken.swap(this->Actions);
  return Taken;
}

const CatalogStore &Spread::store(ItemKind Kind) const {
  return this->Streams[static_cast<size_t>(Kind)].Store;
}

const VersionLedger &Spread::ledger(ItemKind Kind) const {
  return this->Streams[static_cast<size_t>(Kind)].Ledger;
}

void Spread::audit(AuditKind Kind, ItemKind Item, const VersionId &Version,
                   const std::string &From, const std::string &Detail) {
  this->Actions.emplace_back(AuditEvent{.Kind = Kind,
                                        .Item = Item,
                                        .Version = Version,
                                        .From = From,
                                        .Detail = Detail});
}

bool Spread::busy(TimePoint Now) const {
  const bool Pulls =
      std::any_of(this->Streams.begin(), this->Streams.end(),
                  [](const Stream &Each) { return !Each.Pulls.idle(); });
  return !this->Boot.settled() || this->holding(Now) || Pulls ||
         !this->Pushes.empty() || !this->Fetch.target().none() ||
         this->Schedule.isDueSoon(Now);
}

TimePoint Spread::nextTick(TimePoint Now) const {
  if (this->busy(Now))
    return Now + BusyTickPeriod;
  TimePoint Due = std::min(Now + IdleTickPeriod, this->NextDigest);
  if (this->Schedule.reads())
    for (const Stream &Each : this->Streams)
      if (!Each.Read.InFlight)
        Due = std::min(Due, Each.Read.NotBefore);
  return std::max(Due, Now + LeastTickPeriod);
}

void Spread::onTick(TimePoint Now) {
  this->pollBoot(Now);
  this->pollReads(Now);
  this->pollDigests(Now);
  this->pollAsk(Now);
  this->adopt(this->Pushes.adoptOverdue(Now), Now);
  this->renewSilent(Now);
  this->expireLapsed(Now);
  if (this->holding(Now))
    return;
  for (const ItemKind Kind : Kinds)
    this->stream(Kind).Pulls.poll(this->ledger(Kind).inForce(), Now,
                                  this->Actions);
}

void Spread::onPlatformValue(ItemKind Kind, uint64_t Revision,
                             const std::string &Text, TimePoint Now) {
  Watch &Read = this->stream(Kind).Read;
  Read.InFlight = false;
  Read.NotBefore = Now + this->Tuning.ReadInterval;
  if (this->holding(Now))
    return;
  Read.LastGood = true;
  Read.Failures = 0;
  Read.Revision = std::max(Read.Revision, Revision);
  this->onGoodRead(Now);
  if (Kind == ItemKind::Config)
    this->takeConfigManifest(Text, Now);
  else
    this->takeVmList(Text, Now);
}

void Spread::onPlatformUnchanged(ItemKind Kind, TimePoint Now) {
  Watch &Read = this->stream(Kind).Read;
  Read.InFlight = false;
  Read.LastGood = true;
  Read.Failures = 0;
  Read.NotBefore = Now;
  this->onGoodRead(Now);
}

void Spread::onGoodRead(TimePoint Now) {
  this->HasRead = true;
  const std::optional<Duration> Before = this->Schedule.goodAge(Now);
  this->Schedule.onGoodRead(Now);
  // News of a read are worth a digest only once others begin to wait for them.
  if (Before && *Before < this->Tuning.ReadBase / 3)
    return;
  this->tellChildren(Now);
  this->tellNextReaders(Now);
}

void Spread::onPlatformFailed(ItemKind Kind, TimePoint Now) {
  Watch &Read = this->stream(Kind).Read;
  Read.InFlight = false;
  Read.LastGood = false;
  this->delayRead(Read, Now);
  if (this->Schedule.onFailedRead(Now))
    this->tellNextReaders(Now);
}

void Spread::delayRead(Watch &Read, TimePoint Now) {
  const int Doublings = std::min(Read.Failures, MaxReadDoublings);
  Read.Failures += 1;
  const int64_t Longest = toMicroseconds(FirstReadDelay) << Doublings;
  std::uniform_int_distribution<int64_t> Draw(Longest / 2, Longest);
  Read.NotBefore = Now + microseconds(Draw(this->Random));
}

void Spread::takeConfigManifest(const std::string &Text, TimePoint Now) {
  const Result<Catalog> Manifest = parseManifest(Text);
  if (!Manifest || Manifest.value().Mesh != this->Options.Mesh) {
    const std::string Why =
        Manifest ? "manifest of mesh '" + Manifest.value().Mesh + "'"
                 : Manifest.error().message();
    this->audit(AuditKind::Refused, ItemKind::Config, VersionId(), "platform",
                Why);
    return;
  }
  Stream &Config = this->stream(ItemKind::Config);
  const VersionId Version = versionOf(Manifest.value());
  const Verdict What = Config.Ledger.judge(Version);
  if (Config.Ledger.conflicts(Version))
    this->audit(AuditKind::Conflict, ItemKind::Config, Version, "platform",
                "in force: " + Config.Ledger.inForce().text());
  if (What == Verdict::Older)
    this->audit(AuditKind::IgnoredOlder, ItemKind::Config, Version, "platform",
                "in force: " + Config.Ledger.inForce().text());
  if (What != Verdict::Wanted || Version == this->Fetch.target())
    return;
  this->audit(AuditKind::Seen, ItemKind::Config, Version, "platform", "");
  this->Fetch.begin(Manifest.value(), Now);
  this->finishFetch(Now);
}

void Spread::takeVmList(const std::string &Text, TimePoint Now) {
  const Result<VmList> List = parsePlatformVmList(Text);
  if (!List) {
    this->audit(AuditKind::Refused, ItemKind::VmList, VersionId(), "platform",
                List.error().message());
    return;
  }
  auto Version = std::make_shared<WholeVersion>();
  Version->Content =
      vmListCatalog(this->Options.Mesh, List.value(), Version->Parts);
  Version->Id = versionOf(Version->Content);
  const WholeVersionPtr Known = this->store(ItemKind::VmList).current();
  if (Known != nullptr && Known->Content.Entries == Version->Content.Entries)
    return;
  this->accept(ItemKind::VmList, Version,
               {.How = Origin::Platform, .From = "platform"}, Now);
}

void Spread::onPart(const Digest &Hash, const std::string *Text,
                    TimePoint Now) {
  if (!this->Fetch.onPart(Hash, Text, Now))
    this->audit(AuditKind::DigestMismatch, ItemKind::Config,
                this->Fetch.target(), "platform", "value " + Hash.str());
  this->finishFetch(Now);
}

void Spread::finishFetch(TimePoint Now) {
  const CatalogStore &Store = this->store(ItemKind::Config);
  if (this->Fetch.target().none())
    return;
  const WholeVersionPtr Whole = this->Fetch.whole(Store);
  if (Whole == nullptr) {
    this->Fetch.poll(Store, Now, this->Actions);
    return;
  }
  this->Fetch.clear();
  this->accept(ItemKind::Config, Whole,
               {.How = Origin::Platform, .From = "platform"}, Now);
}

void Spread::accept(ItemKind Kind, const WholeVersionPtr &Version,
                    const Arrival &Came, TimePoint Now) {
  const std::string &From = Came.From;
  Stream &Target = this->stream(Kind);
  const Verdict What = Target.Ledger.judge(Version->Id);
  if (What == Verdict::Older && Kind == ItemKind::Config)
    this->audit(AuditKind::IgnoredOlder, Kind, Version->Id, From, "");
  if (What != Verdict::Wanted)
    return;
  if (Kind == ItemKind::Config && Target.Ledger.conflicts(Version->Id))
    this->audit(AuditKind::Conflict, Kind, Version->Id, From,
                "in force: " + Target.Ledger.inForce().text());
  if (const std::optional<Error> Fault = this->Check(Kind, *Version)) {
    Target.Ledger.refuse(Version->Id, Fault->message());
    this->audit(AuditKind::Refused, Kind, Version->Id, From, Fault->message());
    return;
  }
  Target.Ledger.apply(Version->Id);
  Target.Store.put(Version);
  Target.Pulls.onApplied(tagOf(Version->Id));
  if (Kind == ItemKind::VmList)
    this->applyVmList(Now);
  else
    this->Tuning = this->PolicyOf(*Version);
  this->Schedule.setOptions({.Readers = this->Tuning.Readers,
                             .Base = this->Tuning.ReadBase,
                             .Step = this->Tuning.ReadStep,
                             .IsSeed = this->isSeed()});
  this->audit(AuditKind::Applied, Kind, Version->Id, From, "");
  this->Actions.emplace_back(VersionInForce{Kind});
  this->forward(Kind, Came, Now);
}

void Spread::applyVmList(TimePoint Now) {
  const WholeVersionPtr List = this->store(ItemKind::VmList).current();
  std::vector<Vm> All;
  for (const CatalogEntry &Each : List->Content.Entries) {
    const auto Vms = parseVmPart(Each.Path, List->text(Each.Path));
    All.insert(All.end(), Vms.value().begin(), Vms.value().end());
  }
  // The list may come before the news of the read that brought it.
  const TimePoint Returned =
      this->Schedule.isAway(Now)
          ? Now
          : this->Schedule.returned().value_or(Now - this->Tuning.LapseGrace);
  this->Lapsed.apply(std::move(All), Returned + this->Tuning.LapseGrace, Now);
  if (this->Lapsed.kept() > 0)
    this->audit(AuditKind::VmsKept, ItemKind::VmList,
                this->ledger(ItemKind::VmList).inForce(), "self",
                std::to_string(this->Lapsed.kept()) +
                    " not listed since the platform is back");
  this->useVms();
}

void Spread::expireLapsed(TimePoint Now) {
  if (!this->Lapsed.expire(Now))
    return;
  this->audit(AuditKind::VmsDropped, ItemKind::VmList,
              this->ledger(ItemKind::VmList).inForce(), "self",
              "not listed again in time");
  this->useVms();
  this->Actions.emplace_back(VersionInForce{ItemKind::VmList});
}

void Spread::useVms() {
  this->Nodes =
      Topology(this->Lapsed.inUse(), this->Options.Self, this->Options.Domain);
  this->Schedule.onOrderChanged();
  this->Members.retain([this](const VmName &Name) {
    return this->Nodes.findByName(Name) != nullptr;
  });
}

void Spread::setOwnState(MemberState State, TimePoint Now) {
  if (!this->Members.setOwnState(State))
    return;
  this->audit(AuditKind::StateChanged, ItemKind::VmList, VersionId(), "self",
              memberStateName(State));
  this->announceOwn(Now);
}

bool Spread::mergeAnnouncement(const MemberAnnouncement &Announced,
                               const Address &From, TimePoint Now) {
  if (Announced.Name.empty())
    return false;
  if (Announced.Name == this->Options.Self) {
    if (this->Members.merge(Announced))
      this->announceOwn(Now);
    return false;
  }
  if (const MemberAnnouncement *Later = this->Members.laterLife(Announced)) {
    if (const Vm *Announcer = this->Nodes.findByName(Announced.Name))
      this->Actions.emplace_back(
          SendControl{Announcer->Ip, AnnouncementsMessage{{*Later}}});
    return false;
  }
  const MemberAnnouncement *Known = this->Members.find(Announced.Name);
  const bool Changes = Known == nullptr || Known->State != Announced.State;
  if (!this->Members.merge(Announced))
    return false;
  this->Schedule.onOrderChanged();
  const bool Leaves = Announced.State == MemberState::Draining ||
                      Announced.State == MemberState::Gone;
  if (Changes && Leaves)
    this->audit(AuditKind::StateChanged, ItemKind::VmList, VersionId(),
                From.str(),
                Announced.Name.str() + " " + memberStateName(Announced.State));
  this->Actions.emplace_back(MemberChanged{Announced});
  return true;
}

void Spread::onPaused(Duration Length, TimePoint Now) {
  this->audit(AuditKind::Paused, ItemKind::Config, VersionId(), "self",
              std::to_string(toMilliseconds(Length)) + " ms");
  this->HoldUntil = Now + MaxHold;
  this->Schedule.forgetAge();
  this->Pushes.clear();
  for (const ItemKind Kind : Kinds)
    this->stream(Kind).Pulls.clear();
  this->askPeers(2, 1, Now);
}

} // namespace bluebellbarrow
