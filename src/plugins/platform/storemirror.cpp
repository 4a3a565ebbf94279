#include "storemirror.h"

#include "kernel/hashing.h"
#include "kernel/log.h"

#include <algorithm>

namespace bluebellbarrow {

void StoreMirror::restartListing() {
  this->PagedTargets.clear();
  this->PageCursor.clear();
  this->ExpectsFirstPage = true;
  this->Complete = false;
}

MirrorChange StoreMirror::applyPage(const StoreResponse &Page) {
  MirrorChange Change;
  // The store may change between two pages, so together they are no consistent
  // snapshot. Changes are therefore read from the revision of the first page.
  if (this->ExpectsFirstPage)
    this->WatchRevision = Page.Revision;
  this->ExpectsFirstPage = false;
  std::map<std::string, Vm> Previous = std::move(this->Targets);
  this->Targets = std::move(this->PagedTargets);
  for (const StoreItem &Item : Page.Items) {
    // applyTarget() keeps the warm-up time of a target that is already known.
    const auto Known = Previous.find(Item.Key);
    if (Known != Previous.end())
      this->Targets.insert(*Known);
    Change.Config = this->applyItem(Item).Config || Change.Config;
  }
  if (!Page.Items.empty())
    this->PageCursor = Page.Items.back().Key;
  if (Page.HasMore) {
    this->PagedTargets = std::move(this->Targets);
    this->Targets = std::move(Previous);
    return Change;
  }
  this->Complete = true;
  if (this->Targets != Previous || this->VmListRevision == 0) {
    this->VmListRevision = Page.Revision;
    Change.Targets = true;
  }
  return Change;
}

MirrorChange StoreMirror::applyChanges(const StoreResponse &Changes) {
  MirrorChange Change;
  for (const StoreItem &Item : Changes.Items)
    if (this->Schema.classifyKey(Item.Key) == StoreKeyKind::Target)
      Change.Targets = this->applyTarget(Item) || Change.Targets;
  // Only the last configuration that can be parsed is applied.
  const auto ApplyIfConfig = [this](const StoreItem &Item) {
    return this->Schema.classifyKey(Item.Key) == StoreKeyKind::Config &&
           this->applyConfig(Item);
  };
  Change.Config =
      std::any_of(Changes.Items.rbegin(), Changes.Items.rend(), ApplyIfConfig);
  this->WatchRevision = std::max(this->WatchRevision, Changes.Revision);
  if (Change.Targets)
    this->VmListRevision = this->WatchRevision;
  return Change;
}

MirrorChange StoreMirror::applyItem(const StoreItem &Item) {
  switch (this->Schema.classifyKey(Item.Key)) {
  case StoreKeyKind::Config:
    return {.Config = this->applyConfig(Item)};
  case StoreKeyKind::Target:
    return {.Targets = this->applyTarget(Item)};
  case StoreKeyKind::Other:
    break;
  }
  return {};
}

bool StoreMirror::applyConfig(const StoreItem &Item) {
  if (!Item.Value || Item.Revision <= this->ConfigRevision)
    return false;
  const Digest Hash = computeDigest(*Item.Value);
  if (Hash == this->ConfigHash)
    return false;
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
  this->ConfigRevision = Item.Revision;
  return true;
}

bool StoreMirror::applyTarget(const StoreItem &Item) {
  const auto Known = this->Targets.find(Item.Key);
  if (!Item.Value)
    return this->Targets.erase(Item.Key) > 0;
  Result<Vm> Parsed = this->Schema.parseTarget(Item.Key, *Item.Value);
  if (!Parsed) {
    logError(LogLevel::Warning, Parsed.error());
    return this->Targets.erase(Item.Key) > 0;
  }
  Vm &Entry = Parsed.value();
  if (Known == this->Targets.end()) {
    this->Targets.emplace(Item.Key, std::move(Entry));
    return true;
  }
  if (Known->second.TargetStartUnixMillis == Entry.TargetStartUnixMillis)
    Entry.RemainingWarmUp = Known->second.RemainingWarmUp;
  if (Known->second == Entry)
    return false;
  Known->second = std::move(Entry);
  return true;
}

std::vector<Vm> StoreMirror::listedVms() const {
  std::map<std::pair<Address, int>, const Vm *> ByAddress;
  for (const auto &[Key, Target] : this->Targets) {
    const Vm *&Latest = ByAddress[{Target.Ip, Target.TargetPort}];
    if (Latest == nullptr ||
        Latest->TargetStartUnixMillis <= Target.TargetStartUnixMillis)
      Latest = &Target;
  }
  std::vector<Vm> Vms;
  Vms.reserve(ByAddress.size());
  for (const auto &[IpAndPort, Latest] : ByAddress)
    Vms.push_back(*Latest);
  sortVms(Vms);
  return Vms;
}

std::string StoreMirror::vmList() const {
  return formatPlatformVmList({.Revision = VersionNumber(this->VmListRevision),
                               .Vms = this->listedVms()});
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
