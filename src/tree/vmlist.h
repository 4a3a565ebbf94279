#ifndef BLUEBELLBARROW_TREE_VMLIST_H
#define BLUEBELLBARROW_TREE_VMLIST_H

#include "kernel/clock.h"
#include "manifest.h"

#include <string>
#include <vector>

namespace bluebellbarrow {

/** Identity of an upstream: a VM and the target that runs on it. */
struct UpstreamId {
  VmName Name;

  /** Empty where the platform does not tell targets apart. */
  TargetInstanceId Target;

  auto operator<=>(const UpstreamId &) const = default; // NOLINT
};

/** One VM as the platform lists it. */
struct Vm {
  VmName Name;
  Address Ip;
  FailureDomain Domain;
  ServiceName Service;

  /** The platform is about to take it away. */
  bool Leaving = false;

  /** The target that runs on it; empty where the platform does not say. */
  TargetInstanceId Target;

  /** Port of the target; 0 where the platform does not say. */
  int TargetPort = 0;

  /** Requests that the target takes at once; 0 for what the policy says. */
  int64_t Slots = 0;

  /** Start of the target, in milliseconds of Unix time; 0 for unknown. */
  int64_t TargetStartUnixMillis = 0;

  /** Time for which the target was still slow when it was first listed. */
  Duration RemainingWarmUp{};

  UpstreamId id() const { return {.Name = this->Name, .Target = this->Target}; }

  auto operator<=>(const Vm &) const = default; // NOLINT
};

/** The platform's list of VMs. */
struct VmList {
  /** Number that the platform gave this list. */
  VersionNumber Revision;

  /** Sorted by service, then name, then target. */
  std::vector<Vm> Vms;
};

/** Sorts the VMs as a list needs them. */
void sortVms(std::vector<Vm> &Vms);

/** Returns the list in the platform's form. Thread safety: safe. */
std::string formatPlatformVmList(const VmList &List);

/**
 * Reads the platform's answer. Errors: what is wrong with it.
 * Thread safety: safe.
 */
Result<VmList> parsePlatformVmList(const std::string &Text);

/**
 * Splits a list into one part for each service, so that a change of one VM
 * changes one part; every reader makes the same parts of the same list.
 */
Manifest buildVmListManifest(const std::string &Mesh, const VmList &List,
                             PartsByDigest &Parts);

/** Reads one part of vmListCatalog(). Errors: BadSyntax. */
Result<std::vector<Vm>> parseVmPart(const std::string &Service,
                                    const std::string &Text);

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_TREE_VMLIST_H
