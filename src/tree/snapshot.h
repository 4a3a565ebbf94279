#ifndef BLUEBELLBARROW_TREE_SNAPSHOT_H
#define BLUEBELLBARROW_TREE_SNAPSHOT_H

#include "settingstree.h"
#include "snapshotdefaults.h"
#include "vmlist.h"

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace bluebellbarrow {

/** A service with its policy and the VMs that serve it. */
struct ServiceEntry {
  ServiceName Name;
  Policy Effective;

  /** Sorted by name. */
  std::vector<Vm> Upstreams;
};

/** A part of a route's requests. */
struct ServiceShare {
  /** Index into Snapshot::Services. */
  size_t Service = 0;

  /** Size relative to the other parts of the route. */
  double Weight = 1;
};

/** A route of a service. */
struct RouteEntry {
  RouteName Name;

  /** The services that serve it; at least one. */
  std::vector<ServiceShare> Shares;

  /** Host that requests name; empty for any. */
  std::string Host;

  /** Empty for any. */
  std::string Method;

  std::string PathPrefix;
  Policy Effective;
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

  std::vector<RouteEntry> Routes;

  /** Index into Routes by host, method and path prefix. */
  std::unordered_map<std::string, size_t> RouteIndex;

  SpreadPolicy Spread;
  CallerLimits Limits;

  /**
   * Returns the route with the longest prefix of whole segments of \a Path, or
   * null. Among equal prefixes one that names the host comes first, then one
   * that names the method. The time grows with the segments of the path only.
   */
  const RouteEntry *findRoute(const std::string &Host,
                              const std::string &Method,
                              const std::string &Path) const;

  const ServiceEntry *findService(const ServiceName &Name) const;
};

/** Compiles a snapshot as the nodes of \a Domain use it. */
std::shared_ptr<const Snapshot>
compileSnapshot(const SettingsTree &Tree, const VersionId &Version,
                const std::vector<Vm> &Vms, const VersionId &VmListVersion,
                const FailureDomain &Domain,
                const SnapshotDefaults &Base = SnapshotDefaults());

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_TREE_SNAPSHOT_H
