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
 * Checks versions and compiles snapshots. What it says of a version depends on
 * the version alone, so that every node decides alike; parts that were parsed
 * before are not parsed again.
 *
 * Thread safety: none; owned by one task.
 */
class VersionCompiler {
public:
  /** \a Base holds what is used where a tree sets nothing. */
  explicit VersionCompiler(SnapshotDefaults Base = SnapshotDefaults())
      : Defaults(std::move(Base)) {}

  /** Replaces what is used where a tree sets nothing. */
  void setDefaults(SnapshotDefaults New) {
    this->Defaults = std::move(New);
    this->CompiledRoutes.reset();
  }

  /** Returns why \a Version is bad, or nothing. */
  std::optional<Error> validate(ResourceKind Kind, const FullVersion &Version);

  /** Returns the spread policy of a domain. \pre check() found nothing. */
  SpreadPolicy spreadPolicy(const FullVersion &Config,
                            const FailureDomain &Domain);

  /** Compiles a snapshot. \pre check() found nothing in either. */
  std::shared_ptr<const Snapshot> compile(const FullVersion &Config,
                                          const std::vector<Vm> &Vms,
                                          const VersionId &ListVersion,
                                          const FailureDomain &Domain);

private:
  Result<SettingsTreePtr> loadTree(const FullVersion &Config);

  /** Branches of the version that was checked last, by digest and path. */
  std::map<std::pair<Digest, std::string>, BranchPtr> ParsedBranches;

  SnapshotDefaults Defaults;
  VersionId LastVersion;
  SettingsTreePtr LastTree;
  RouteCompiler RoutesCompiler;

  /** The routes of LastTree; null until they are needed. */
  RouteTablePtr CompiledRoutes;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_SPREAD_VERSIONCOMPILER_H
