#ifndef BLUEBELLBARROW_SPREAD_VERSIONCOMPILER_H
#define BLUEBELLBARROW_SPREAD_VERSIONCOMPILER_H

#include "kernel/error.h"
#include "tree/routecompiler.h"
#include "tree/snapshot.h"
#include "versionstore.h"

#include <map>
#include <memory>
#include <optional>

namespace bluebellbarrow {

/**
 * Validates versions and compiles snapshots. The result of validation depends
 * on the version alone, so that all nodes agree on it. Branches of the tree
 * that was built last are not parsed again.
 *
 * Thread safety: none; owned by one task.
 */
class VersionCompiler {
public:
  /** \a Defaults apply where a tree sets nothing. */
  explicit VersionCompiler(SnapshotDefaults Defaults = SnapshotDefaults())
      : Defaults(std::move(Defaults)) {}

  /** Replaces the defaults. */
  void setDefaults(SnapshotDefaults NewDefaults) {
    this->Defaults = std::move(NewDefaults);
    this->CompiledRoutes.reset();
  }

  /** Returns why \a Version must be refused, or nothing if it is valid. */
  std::optional<Error> validate(ResourceKind Kind, const FullVersion &Version);

  /**
   * Returns the spread policy of \a Domain.
   *
   * \pre validate() accepts \a Config.
   */
  SpreadPolicy spreadPolicy(const FullVersion &Config,
                            const FailureDomain &Domain);

  /**
   * Compiles a snapshot.
   *
   * \pre validate() accepts \a Config and the version of the VM list.
   */
  std::shared_ptr<const Snapshot> compile(const FullVersion &Config,
                                          const ListContent &List,
                                          const VersionId &ListVersion,
                                          const FailureDomain &Domain);

private:
  Result<SettingsTreePtr> loadTree(const FullVersion &Config);

  /** Branches of LastVersion, by digest and path. */
  std::map<std::pair<Digest, std::string>, BranchPtr> ParsedBranches;

  SnapshotDefaults Defaults;
  VersionId LastVersion;
  SettingsTreePtr LastTree;
  RouteCompiler RoutesCompiler;

  /** The compiled routes of LastTree; null until they are needed. */
  RouteTablePtr CompiledRoutes;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_SPREAD_VERSIONCOMPILER_H
