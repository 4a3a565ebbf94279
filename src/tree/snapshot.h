#ifndef BLUEBELLBARROW_TREE_SNAPSHOT_H
#define BLUEBELLBARROW_TREE_SNAPSHOT_H

#include "routetable.h"
#include "settingstree.h"
#include "snapshotdefaults.h"
#include "vmlist.h"

#include <memory>
#include <vector>

namespace bluebellbarrow {

/** A service with its policy and the VMs that serve it. */
struct ServiceEntry {
  ServiceName Name;
  Policy EffectivePolicy;

  /** Sorted by name. */
  std::vector<Vm> Upstreams;
};

/**
 * Everything that a node needs to serve calls, compiled from one version of
 * the settings and one VM list. Every reference is closed: a route names its
 * service by an index, a service holds its upstreams.
 *
 * Thread safety: immutable, safe.
 */
struct Snapshot {
  VersionId Version;
  VersionId VmListVersion;
  FailureDomain Domain;
  std::vector<ServiceEntry> Services;

  /** VMs in the list, each counted once. */
  size_t VmCount = 0;

  /** Shared by the snapshots of one version. */
  RouteTablePtr Routes;

  SpreadPolicy Spread;
  CallerLimits Limits;

  const ServiceEntry *findService(const ServiceName &Name) const;
};

/** What a snapshot is compiled from. */
struct SnapshotInput {
  const SettingsTree &Tree;
  VersionId Version;

  /** The routes of Tree as \a Domain sees them. */
  RouteTablePtr Routes;

  const std::vector<Vm> &Vms;
  VersionId VmListVersion;
  FailureDomain Domain;

  /** Used where the tree sets nothing. */
  const SnapshotDefaults &Defaults;
};

/** Compiles a snapshot. Thread safety: safe. */
std::shared_ptr<const Snapshot> compileSnapshot(const SnapshotInput &From);

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_TREE_SNAPSHOT_H
