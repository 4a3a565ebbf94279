#include "storemirror.h"

#include "kernel/hashing.h"
#include "kernel/log.h"

#include <algorithm>

namespace bluebellbarrow {

void StoreMirror::restartListing() {
  this->PagedTargets.clear();
  this->PageCursor.clear();
  this->FirstPage = true;
  this->Complete = false;
}

MirrorChange StoreMirror::applyPage(const StoreResponse &Page) {
  MirrorChange Change;
  // Pages are no snapshot: changes are read from the first one on.
  if (this->FirstPage)
    this->WatchRevision = Page.Revision;
  this->FirstPage = false;
  std::map<std::string, Vm> Before = std::move(this->Targets);
  this->Targets = std::move(this->PagedTargets);
  for (const StoreItem &Item : Page.Items) {
    // What is known of a target is kept: see takeTarget().
    const auto Known = Before.find(Item.Key);
    if (Known != Before.end())
      this->Targets.insert(*Known);
    Change.Config = this->applyItem(Item).Config || Change.Config;
  }
  if (!Page.Items.empty())
    this->PageCursor = Page.Items.back().Key;
  if (Page.HasMore) {
    this->PagedTargets = std::move(this->Targets);
    this->Targets = std::move(Before);
    return Change;
  }
  this->Complete = true;
  if (this->Targets != Before || this->VmListRevision == 0) {
    this->VmListRevision = Page.Revision;
    Change.Targets = true;
  }
  return Change;
}

MirrorChange StoreMirror::applyChanges(const StoreResponse &Changes) {
  MirrorChange All;
  for (const StoreItem &Item : Changes.Items)
    if (this->Schema.classifyKey(Item.Key) == StoreKeyKind::Target)
      All.Targets = this->applyTarget(Item) || All.Targets;
  // The last version that can be read replaces those before it.
  const auto IsTaken = [this](const StoreItem &Item) {
    return this->Schema.classifyKey(Item.Key) == StoreKeyKind::Config &&
           this->applyConfig(Item);
  };
  All.Config =
      std::any_of(Changes.Items.rbegin(), Changes.Items.rend(), IsTaken);
  this->WatchRevision = std::max(this->WatchRevision, Changes.Revision);
  if (All.Targets)
    this->VmListRevision = this->WatchRevision;
  return All;
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
  const Result<StoredConfig> Read =
      this->Schema.parseConfig(*Item.Value, this->Mesh);
  if (!Read) {
    logError(LogLevel::Warning, Read.error());
    return false;
  }
  Manifest Made{.Mesh = this->Mesh, .Number = Read.value().Number};
  PartsByDigest New;
  for (const auto &[Path, Text] : Read.value().Branches)
    addPart(Made, New, Path, Text);
  this->PreviousParts = std::move(this->Parts);
  this->Parts = std::move(New);
  this->ManifestText = formatManifest(Made);
  this->ConfigHash = Hash;
  this->ConfigRevision = Item.Revision;
  return true;
}

bool StoreMirror::applyTarget(const StoreItem &Item) {
  const auto Known = this->Targets.find(Item.Key);
  if (!Item.Value)
    return this->Targets.erase(Item.Key) > 0;
  Result<Vm> Read = this->Schema.parseTarget(Item.Key, *Item.Value);
  if (!Read) {
    logError(LogLevel::Warning, Read.error());
    return this->Targets.erase(Item.Key) > 0;
  }
  Vm &New = Read.value();
  if (Known == this->Targets.end()) {
    this->Targets.emplace(Item.Key, std::move(New));
    return true;
  }
  if (Known->second.TargetStartUnixMillis == New.TargetStartUnixMillis)
    New.RemainingWarmUp = Known->second.RemainingWarmUp;
  if (Known->second == New)
    return false;
  Known->second = std::move(New);
  return true;
}

std::vector<Vm> StoreMirror::listedVms() const {
  std::map<std::pair<Address, int>, const Vm *> ByAddress;
  for (const auto &[Key, Each] : this->Targets) {
    const Vm *&Last = ByAddress[{Each.Ip, Each.TargetPort}];
    if (Last == nullptr ||
        Last->TargetStartUnixMillis <= Each.TargetStartUnixMillis)
      Last = &Each;
  }
  std::vector<Vm> Listed;
  Listed.reserve(ByAddress.size());
  for (const auto &[Place, Each] : ByAddress)
    Listed.push_back(*Each);
  sortVms(Listed);
  return Listed;
}

std::string StoreMirror::vmList() const {
  return formatPlatformVmList({.Revision = VersionNumber(this->VmListRevision),
                               .Vms = this->listedVms()});
}

PartText StoreMirror::part(const Digest &Hash) const {
  for (const PartsByDigest *Each : {&this->Parts, &this->PreviousParts}) {
    const auto Found = Each->find(Hash);
    if (Found != Each->end())
      return Found->second;
  }
  return nullptr;
}

} // namespace bluebellbarrow
