#ifndef BLUEBELLBARROW_TREE_SNAPSHOT_H
#define BLUEBELLBARROW_TREE_SNAPSHOT_H

#include "settingstree.h"
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

/** A route of a service. */
struct RouteEntry {
  RouteName Name;

  /** Index into Snapshot::Services. */
  size_t Service = 0;

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

  std::vector<RouteEntry> Routes;

  /** Index into Routes by method, a space and path prefix. */
  std::unordered_map<std::string, size_t> RouteIndex;

  SpreadPolicy Spread;

  /**
   * Returns the route with the longest prefix of whole segments of \a Path, or
   * null. The time grows with the segments of the path only.
   */
  const RouteEntry *findRoute(const std::string &Method,
                              const std::string &Path) const;

  const ServiceEntry *findService(const ServiceName &Name) const;
};

/** Compiles a snapshot as the nodes of \a Domain use it. */
std::shared_ptr<const Snapshot> compileSnapshot(const SettingsTree &Tree,
                                                const VersionId &Version,
                                                const std::vector<Vm> &Vms,
                                                const VersionId &VmListVersion,
                                                const FailureDomain &Domain);

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_TREE_SNAPSHOT_H
