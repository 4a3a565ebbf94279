#include "versioncompiler.h"

namespace bluebellbarrow {

Result<SettingsTreePtr> VersionCompiler::loadTree(const FullVersion &Config) {
  if (this->LastTree != nullptr && this->LastVersion == Config.Id)
    return this->LastTree;
  decltype(this->ParsedBranches) UsedBranches;
  BranchMap Branches;
  for (const ManifestEntry &Entry : Config.Content.Entries) {
    const auto Known = this->ParsedBranches.find({Entry.Hash, Entry.Path});
    BranchPtr Branch =
        Known == this->ParsedBranches.end() ? nullptr : Known->second;
    if (Branch == nullptr) {
      auto Parsed = parseBranch(Entry.Path, *Config.Parts.at(Entry.Hash));
      if (!Parsed)
        return Parsed.error();
      Branch = std::make_shared<const bluebellbarrow::Branch>(
          std::move(Parsed.value()));
    }
    UsedBranches.emplace(std::pair(Entry.Hash, Entry.Path), Branch);
    Branches.emplace(Entry.Path, std::move(Branch));
  }
  Result<SettingsTreePtr> Tree = SettingsTree::build(std::move(Branches));
  if (!Tree)
    return Tree;
  this->ParsedBranches = std::move(UsedBranches);
  this->LastTree = Tree.value();
  this->LastVersion = Config.Id;
  this->CompiledRoutes.reset();
  return Tree;
}

std::optional<Error> VersionCompiler::validate(ResourceKind Kind,
                                               const FullVersion &Version) {
  if (Kind == ResourceKind::Config) {
    const Result<SettingsTreePtr> Tree = this->loadTree(Version);
    if (!Tree)
      return Tree.error();
    if (Tree.value()->meshName() != Version.Content.Mesh)
      return makeError(Errc::BadValue, "mesh.ini", "",
                       "settings tree belongs to mesh '" +
                           Tree.value()->meshName() + "'");
    return std::nullopt;
  }
  const ParsedVms Parsed = parseVmParts(Version.Content, Version.Parts);
  if (Parsed.Vms.empty() && !Parsed.Skipped.empty())
    return Parsed.Skipped.front();
  return std::nullopt;
}

SpreadPolicy VersionCompiler::spreadPolicy(const FullVersion &Config,
                                           const FailureDomain &Domain) {
  return this->loadTree(Config).value()->spreadPolicy(Domain,
                                                      this->Defaults.Spread);
}

std::shared_ptr<const Snapshot>
VersionCompiler::compile(const FullVersion &Config, const ListContent &List,
                         const VersionId &ListVersion,
                         const FailureDomain &Domain) {
  const SettingsTreePtr Tree = this->loadTree(Config).value();
  if (this->CompiledRoutes == nullptr)
    this->CompiledRoutes =
        this->RoutesCompiler.compile(Tree, Domain, this->Defaults.CallPolicy);
  return compileSnapshot({.Tree = *Tree,
                          .Version = Config.Id,
                          .Routes = this->CompiledRoutes,
                          .Vms = List.Vms,
                          .EvacuatedDomains = List.EvacuatedDomains,
                          .VmListVersion = ListVersion,
                          .Domain = Domain,
                          .Defaults = this->Defaults});
}

} // namespace bluebellbarrow
