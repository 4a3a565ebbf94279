#ifndef BLUEBELLBARROW_TREE_VMLIST_H
#define BLUEBELLBARROW_TREE_VMLIST_H

#include "catalog.h"

#include <string>
#include <vector>

namespace bluebellbarrow {

/** One VM as the platform lists it. */
struct Vm {
  VmName Name;
  Address Ip;
  FailureDomain Domain;
  ServiceName Service;

  /** The platform is about to take it away. */
  bool Leaving = false;

  auto operator<=>(const Vm &) const = default; // NOLINT
};

/** The platform's list of VMs. */
struct VmList {
  /** Number that the platform gave this list. */
  VersionNumber Revision;

  /** Sorted by service, then name. */
  std::vector<Vm> Vms;
};

/**
 * Reads the platform's answer. Errors: what is wrong with it.
 * Thread safety: safe.
 */
Result<VmList> parsePlatformVmList(const std::string &Text);

/**
 * Splits a list into one part for each service, so that a change of one VM
 * changes one part; every reader makes the same parts of the same list.
 */
Catalog vmListCatalog(const std::string &Mesh, const VmList &List,
                      PartsByDigest &Parts);

/** Reads one part of vmListCatalog(). Errors: BadSyntax. */
Result<std::vector<Vm>> parseVmPart(const std::string &Service,
                                    const std::string &Text);

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_TREE_VMLIST_H
