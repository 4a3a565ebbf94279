#include "storemirror.h"

#include "kernel/hashing.h"
#include "kernel/log.h"

#include <algorithm>

namespace bluebellbarrow {

void StoreMirror::beginPages() {
  this->Paged.clear();
  this->PageKey.clear();
  this->FirstPage = true;
  this->Complete = false;
}

MirrorChange StoreMirror::onPage(const StoreAnswer &Page) {
  MirrorChange Change;
  // Pages are no snapshot: changes are read from the first one on.
  if (this->FirstPage)
    this->Position = Page.Revision;
  this->FirstPage = false;
  std::map<std::string, Vm> Before = std::move(this->Targets);
  this->Targets = std::move(this->Paged);
  for (const StoreItem &Item : Page.Items) {
    // What is known of a target is kept: see takeTarget().
    const auto Known = Before.find(Item.Key);
    if (Known != Before.end())
      this->Targets.insert(*Known);
    Change.Config = this->take(Item).Config || Change.Config;
  }
  if (!Page.Items.empty())
    this->PageKey = Page.Items.back().Key;
  if (Page.More) {
    this->Paged = std::move(this->Targets);
    this->Targets = std::move(Before);
    return Change;
  }
  this->Complete = true;
  if (this->Targets != Before || this->ListRevision == 0) {
    this->ListRevision = Page.Revision;
    Change.Targets = true;
  }
  return Change;
}

MirrorChange StoreMirror::onChanges(const StoreAnswer &Changes) {
  MirrorChange All;
  for (const StoreItem &Item : Changes.Items)
    if (this->Schema.classify(Item.Key) == StoreKey::Target)
      All.Targets = this->takeTarget(Item) || All.Targets;
  // The last version that can be read replaces those before it.
  const auto IsTaken = [this](const StoreItem &Item) {
    return this->Schema.classify(Item.Key) == StoreKey::Config &&
           this->takeConfig(Item);
  };
  All.Config =
      std::any_of(Changes.Items.rbegin(), Changes.Items.rend(), IsTaken);
  this->Position = std::max(this->Position, Changes.Revision);
  if (All.Targets)
    this->ListRevision = this->Position;
  return All;
}

MirrorChange StoreMirror::take(const StoreItem &Item) {
  switch (this->Schema.classify(Item.Key)) {
  case StoreKey::Config:
    return {.Config = this->takeConfig(Item)};
  case StoreKey::Target:
    return {.Targets = this->takeTarget(Item)};
  case StoreKey::Other:
    break;
  }
  return {};
}

bool StoreMirror::takeConfig(const StoreItem &Item) {
  if (!Item.Value || Item.Revision <= this->ConfigRevision)
    return false;
  const Digest Hash = digestOf(*Item.Value);
  if (Hash == this->ConfigHash)
    return false;
  const Result<StoredConfig> Read =
      this->Schema.readConfig(*Item.Value, this->Mesh);
  if (!Read) {
    logError(LogLevel::Warning, Read.error());
    return false;
  }
  Catalog Made{.Mesh = this->Mesh, .Number = Read.value().Number};
  PartsByDigest New;
  for (const auto &[Path, Text] : Read.value().Branches)
    addPart(Made, New, Path, Text);
  this->OldParts = std::move(this->Parts);
  this->Parts = std::move(New);
  this->Manifest = toManifest(Made);
  this->ConfigHash = Hash;
  this->ConfigRevision = Item.Revision;
  return true;
}

bool StoreMirror::takeTarget(const StoreItem &Item) {
  const auto Known = this->Targets.find(Item.Key);
  if (!Item.Value)
    return this->Targets.erase(Item.Key) > 0;
  Result<Vm> Read = this->Schema.readTarget(Item.Key, *Item.Value);
  if (!Read) {
    logError(LogLevel::Warning, Read.error());
    return this->Targets.erase(Item.Key) > 0;
  }
  Vm &New = Read.value();
  if (Known == this->Targets.end()) {
    this->Targets.emplace(Item.Key, std::move(New));
    return true;
  }
  if (Known->second.Born == New.Born)
    New.Cold = Known->second.Cold;
  if (Known->second == New)
    return false;
  Known->second = std::move(New);
  return true;
}

std::vector<Vm> StoreMirror::vms() const {
  std::map<std::pair<Address, int>, const Vm *> ByAddress;
  for (const auto &[Key, Each] : this->Targets) {
    const Vm *&Last = ByAddress[{Each.Ip, Each.TargetPort}];
    if (Last == nullptr || Last->Born <= Each.Born)
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
  return toPlatformVmList(
      {.Revision = VersionNumber(this->ListRevision), .Vms = this->vms()});
}

PartText StoreMirror::part(const Digest &Hash) const {
  for (const PartsByDigest *Each : {&this->Parts, &this->OldParts}) {
    const auto Found = Each->find(Hash);
    if (Found != Each->end())
      return Found->second;
  }
  return nullptr;
}

} // namespace bluebellbarrow
