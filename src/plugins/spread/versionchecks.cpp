#include "versionchecks.h"

namespace bluebellbarrow {

namespace {

BranchTexts textsOf(const WholeVersion &Version) {
  BranchTexts Texts;
  for (const CatalogEntry &Each : Version.Content.Entries)
    Texts.emplace(Each.Path, Version.text(Each.Path));
  return Texts;
}

} // namespace

std::optional<Error> checkVersion(ItemKind Kind, const WholeVersion &Version) {
  if (Kind == ItemKind::Config) {
    const auto Tree = SettingsTree::parse(textsOf(Version));
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

SpreadPolicy spreadPolicyOf(const WholeVersion &Config,
                            const FailureDomain &Domain) {
  const auto Tree = SettingsTree::parse(textsOf(Config));
  return Tree.value()->spreadPolicy(Domain);
}

std::shared_ptr<const Snapshot> compileVersions(const WholeVersion &Config,
                                                const WholeVersion &List,
                                                const FailureDomain &Domain) {
  const auto Tree = SettingsTree::parse(textsOf(Config));
  std::vector<Vm> Vms;
  for (const CatalogEntry &Each : List.Content.Entries) {
    const auto Part = parseVmPart(Each.Path, List.text(Each.Path));
    Vms.insert(Vms.end(), Part.value().begin(), Part.value().end());
  }
  return compileSnapshot(*Tree.value(), Config.Id, Vms, List.Id, Domain);
}

} // namespace bluebellbarrow
