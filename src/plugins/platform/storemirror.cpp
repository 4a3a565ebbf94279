#include "storemirror.h"

#include "kernel/hashing.h"
#include "kernel/log.h"

#include <algorithm>

namespace bluebellbarrow {

void StoreMirror::restartListing() {
  this->Paged = ListedState();
  this->PageCursor.clear();
  this->ExpectsFirstPage = true;
  this->Complete = false;
}

void StoreMirror::startEra(uint64_t NewEra) {
  this->Era = NewEra;
  this->ConfigPosition = 0;
  this->ListPosition = 0;
  this->WatchRevision = 0;
  this->restartListing();
}

uint64_t StoreMirror::positionOf(uint64_t Revision) const {
  return StorePosition{.Era = this->Era, .Revision = Revision}
      .toNumber()
      .value();
}

MirrorChange StoreMirror::applyPage(const StoreResponse &Page) {
  MirrorChange Change;
  // The store may change between two pages, so together they are no consistent
  // snapshot. Changes are therefore read from the revision of the first page.
  if (this->ExpectsFirstPage)
    this->WatchRevision = Page.Revision;
  this->ExpectsFirstPage = false;
  ListedState Previous = std::move(this->Listed);
  this->Listed = std::move(this->Paged);
  for (const StoreItem &Item : Page.Items) {
    // applyTarget() keeps the warm-up time of a target that is already known.
    const auto Known = Previous.Targets.find(Item.Key);
    if (Known != Previous.Targets.end())
      this->Listed.Targets.insert(*Known);
    Change.Config = this->applyItem(Item).Config || Change.Config;
  }
  if (!Page.Items.empty())
    this->PageCursor = Page.Items.back().Key;
  if (Page.HasMore) {
    this->Paged = std::move(this->Listed);
    this->Listed = std::move(Previous);
    return Change;
  }
  this->Complete = true;
  if (this->Listed != Previous || this->ListPosition == 0) {
    this->ListPosition = this->positionOf(Page.Revision);
    Change.List = true;
  }
  return Change;
}

MirrorChange StoreMirror::applyChanges(const StoreResponse &Changes) {
  MirrorChange Change;
  for (const StoreItem &Item : Changes.Items)
    if (this->Schema.classifyKey(Item.Key) != StoreKeyKind::Config)
      Change.List = this->applyItem(Item).List || Change.List;
  // Only the last configuration that can be parsed is applied.
  const auto ApplyIfConfig = [this](const StoreItem &Item) {
    return this->Schema.classifyKey(Item.Key) == StoreKeyKind::Config &&
           this->applyConfig(Item);
  };
  Change.Config =
      std::any_of(Changes.Items.rbegin(), Changes.Items.rend(), ApplyIfConfig);
  this->WatchRevision = std::max(this->WatchRevision, Changes.Revision);
  if (Change.List)
    this->ListPosition = this->positionOf(this->WatchRevision);
  return Change;
}

MirrorChange StoreMirror::applyItem(const StoreItem &Item) {
  switch (this->Schema.classifyKey(Item.Key)) {
  case StoreKeyKind::Config:
    return {.Config = this->applyConfig(Item)};
  case StoreKeyKind::Target:
    return {.List = this->applyTarget(Item)};
  case StoreKeyKind::Evacuation:
    return {.List = this->applyEvacuation(Item)};
  case StoreKeyKind::Other:
    break;
  }
  return {};
}

bool StoreMirror::applyConfig(const StoreItem &Item) {
  const uint64_t Position = this->positionOf(Item.Revision);
  if (!Item.Value || Position <= this->ConfigPosition)
    return false;
  const Digest Hash = computeDigest(*Item.Value);
  if (Hash == this->ConfigHash) {
    // A value that is only written again is no change, which a reader would
    // report as a read without asking the store.
    if (this->ConfigPosition == 0)
      this->ConfigPosition = Position;
    return false;
  }
  const Result<StoredConfig> Parsed =
      this->Schema.parseConfig(*Item.Value, this->Mesh);
  if (!Parsed) {
    logError(LogLevel::Warning, Parsed.error());
    return false;
  }
  Manifest NewManifest{.Mesh = this->Mesh, .Number = Parsed.value().Number};
  PartsByDigest NewParts;
  for (const auto &[Path, Text] : Parsed.value().Branches)
    addPart(NewManifest, NewParts, Path, Text);
  this->PreviousParts = std::move(this->Parts);
  this->Parts = std::move(NewParts);
  this->ManifestText = formatManifest(NewManifest);
  this->ConfigHash = Hash;
  this->ConfigPosition = Position;
  return true;
}

bool StoreMirror::applyTarget(const StoreItem &Item) {
  std::map<std::string, ListedTarget> &Targets = this->Listed.Targets;
  const auto Known = Targets.find(Item.Key);
  if (!Item.Value)
    return Targets.erase(Item.Key) > 0;
  Result<Vm> Parsed = this->Schema.parseTarget(Item.Key, *Item.Value);
  if (!Parsed) {
    logError(LogLevel::Warning, Parsed.error());
    return Targets.erase(Item.Key) > 0;
  }
  Vm &Entry = Parsed.value();
  const Duration WarmUp = Entry.RemainingWarmUp;
  if (Known == Targets.end()) {
    Targets.emplace(Item.Key, ListedTarget{std::move(Entry), WarmUp});
    return true;
  }
  ListedTarget &Target = Known->second;
  const bool IsCooling =
      Target.Entry.TargetStartUnixMillis == Entry.TargetStartUnixMillis &&
      WarmUp > Duration::zero() && WarmUp <= Target.LastWarmUp;
  Target.LastWarmUp = WarmUp;
  if (IsCooling)
    Entry.RemainingWarmUp = Target.Entry.RemainingWarmUp;
  if (Target.Entry == Entry)
    return false;
  Target.Entry = std::move(Entry);
  return true;
}

bool StoreMirror::applyEvacuation(const StoreItem &Item) {
  const FailureDomain Domain = this->Schema.evacuatedDomain(Item.Key);
  if (!Item.Value || Domain.empty())
    return this->Listed.EvacuatedDomains.erase(Domain) > 0;
  return this->Listed.EvacuatedDomains.insert(Domain).second;
}

std::vector<Vm> StoreMirror::listedVms() const {
  std::map<std::pair<Address, int>, const Vm *> ByAddress;
  for (const auto &[Key, Target] : this->Listed.Targets) {
    const Vm &Entry = Target.Entry;
    const Vm *&Latest = ByAddress[{Entry.Ip, Entry.TargetPort}];
    if (Latest == nullptr ||
        Latest->TargetStartUnixMillis <= Entry.TargetStartUnixMillis)
      Latest = &Entry;
  }
  std::vector<Vm> Vms;
  Vms.reserve(ByAddress.size());
  for (const auto &[IpAndPort, Latest] : ByAddress)
    Vms.push_back(*Latest);
  sortVms(Vms);
  return Vms;
}

std::string StoreMirror::vmList() const {
  const std::set<FailureDomain> &Evacuated = this->Listed.EvacuatedDomains;
  return formatPlatformVmList(
      {.Revision = VersionNumber(this->ListPosition),
       .Vms = this->listedVms(),
       .EvacuatedDomains = {Evacuated.begin(), Evacuated.end()}});
}

PartText StoreMirror::part(const Digest &Hash) const {
  for (const PartsByDigest *Candidates : {&this->Parts, &this->PreviousParts}) {
    const auto Found = Candidates->find(Hash);
    if (Found != Candidates->end())
      return Found->second;
  }
  return nullptr;
}

} // namespace bluebellbarrow
