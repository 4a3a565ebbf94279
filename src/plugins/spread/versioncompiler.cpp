#include "versioncompiler.h"

namespace bluebellbarrow {

Result<SettingsTreePtr> VersionCompiler::treeOf(const WholeVersion &Config) {
  if (this->LastTree != nullptr && this->LastVersion == Config.Id)
    return this->LastTree;
  decltype(this->Parsed) Kept;
  BranchMap Branches;
  for (const CatalogEntry &Each : Config.Content.Entries) {
    const auto Known = this->Parsed.find({Each.Hash, Each.Path});
    BranchPtr Branch = Known == this->Parsed.end() ? nullptr : Known->second;
    if (Branch == nullptr) {
      auto New = parseBranch(Each.Path, *Config.Parts.at(Each.Hash));
      if (!New)
        return New.error();
      Branch = std::make_shared<const bluebellbarrow::Branch>(
          std::move(New.value()));
    }
    Kept.emplace(std::pair(Each.Hash, Each.Path), Branch);
    Branches.emplace(Each.Path, std::move(Branch));
  }
  Result<SettingsTreePtr> Tree = SettingsTree::build(std::move(Branches));
  if (!Tree)
    return Tree;
  this->Parsed = std::move(Kept);
  this->LastTree = Tree.value();
  this->LastVersion = Config.Id;
  this->Table.reset();
  return Tree;
}

std::optional<Error> VersionCompiler::check(ItemKind Kind,
                                            const WholeVersion &Version) {
  if (Kind == ItemKind::Config) {
    const Result<SettingsTreePtr> Tree = this->treeOf(Version);
    if (!Tree)
      return Tree.error();
    if (Tree.value()->meshName() != Version.Content.Mesh)
      return makeError(Errc::BadValue, "mesh.ini", "",
                       "the tree is of mesh '" + Tree.value()->meshName() +
                           "'");
    return std::nullopt;
  }
  for (const CatalogEntry &Each : Version.Content.Entries) {
    const auto Vms = parseVmPart(Each.Path, Version.text(Each.Path));
    if (!Vms)
      return Vms.error();
  }
  return std::nullopt;
}

SpreadPolicy VersionCompiler::spreadPolicy(const WholeVersion &Config,
                                           const FailureDomain &Domain) {
  return this->treeOf(Config).value()->spreadPolicy(Domain, this->Base.Spread);
}

std::shared_ptr<const Snapshot>
VersionCompiler::compile(const WholeVersion &Config, const std::vector<Vm> &Vms,
                         const VersionId &ListVersion,
                         const FailureDomain &Domain) {
  const SettingsTreePtr Tree = this->treeOf(Config).value();
  if (this->Table == nullptr)
    this->Table = this->Routes.compile(Tree, Domain, this->Base.Calls);
  return compileSnapshot({.Tree = *Tree,
                          .Version = Config.Id,
                          .Routes = this->Table,
                          .Vms = Vms,
                          .VmListVersion = ListVersion,
                          .Domain = Domain,
                          .Base = this->Base});
}

} // namespace bluebellbarrow
