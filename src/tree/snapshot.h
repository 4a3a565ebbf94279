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

  /** In the order of SnapshotInput::Vms. */
  std::vector<Vm> Upstreams;
};

/**
 * Everything that a node needs to serve calls, compiled from one version of
 * the settings tree and one VM list. Self-contained: routes refer to services
 * by index, services hold their upstreams.
 *
 * Thread safety: immutable, safe.
 */
struct Snapshot {
  VersionId Version;
  VersionId VmListVersion;
  FailureDomain Domain;

  /** Sorted by name. */
  std::vector<ServiceEntry> Services;

  /** Failure domains whose targets get no requests; sorted. */
  std::vector<FailureDomain> EvacuatedDomains;

  /** Number of distinct VMs in the list. */
  size_t VmCount = 0;

  /** Shared by the snapshots of one version. */
  RouteTablePtr Routes;

  SpreadPolicy Spread;
  CallerLimits Limits;

  /** Returns the service named \a Name, or null. */
  const ServiceEntry *findService(const ServiceName &Name) const;

  /** Returns true if the targets of \a Wanted get no requests. */
  bool isEvacuated(const FailureDomain &Wanted) const;
};

/** What a snapshot is compiled from. */
struct SnapshotInput {
  const SettingsTree &Tree;
  VersionId Version;

  /** The routes of Tree with the values that apply in Domain. */
  RouteTablePtr Routes;

  /** Sorted as in VmList::Vms. */
  const std::vector<Vm> &Vms;

  /** Failure domains whose targets get no requests; sorted. */
  std::vector<FailureDomain> EvacuatedDomains = {};

  VersionId VmListVersion;
  FailureDomain Domain;

  /** Apply where the tree sets no value. */
  const SnapshotDefaults &Defaults;
};

/** Compiles a snapshot. Thread safety: safe. */
std::shared_ptr<const Snapshot> compileSnapshot(const SnapshotInput &Input);

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_TREE_SNAPSHOT_H
