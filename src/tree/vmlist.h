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

  /** Empty if the platform does not distinguish targets. */
  TargetInstanceId Target;

  auto operator<=>(const UpstreamId &) const = default; // NOLINT
};

/** One VM, with the target that runs on it, as the platform lists it. */
struct Vm {
  VmName Name;
  Address Ip;
  FailureDomain Domain;
  ServiceName Service;

  /** True if the platform is about to remove it. */
  bool Leaving = false;

  /** Identity of the target; empty if the platform does not say. */
  TargetInstanceId Target;

  /** Port of the target; 0 if the platform does not say. */
  int TargetPort = 0;

  /** Concurrent requests that the target accepts; 0 for the policy's value. */
  int64_t Slots = 0;

  /** Start time of the target, in milliseconds of Unix time; 0 for unknown. */
  int64_t TargetStartUnixMillis = 0;

  /**
   * Remaining warm-up time of the target when it was first listed as cold; zero
   * once it is warm.
   */
  Duration RemainingWarmUp{};

  /**
   * The operators have evacuated its failure domain. Not a property of the
   * entry: compileSnapshot() sets it from VmList::EvacuatedDomains.
   */
  bool Evacuated = false;

  UpstreamId id() const { return {.Name = this->Name, .Target = this->Target}; }

  auto operator<=>(const Vm &) const = default; // NOLINT
};

/** The platform's list of VMs. */
struct VmList {
  /** Revision that the platform gave this list. */
  VersionNumber Revision;

  /** Sorted by service, then name, then target. */
  std::vector<Vm> Vms;

  /**
   * Failure domains whose targets get no requests until the operators end the
   * evacuation; sorted.
   */
  std::vector<FailureDomain> EvacuatedDomains;
};

/** What a VM list says, without its number. */
struct ListContent {
  /** As VmList::Vms. */
  std::vector<Vm> Vms;

  /** As VmList::EvacuatedDomains. */
  std::vector<FailureDomain> EvacuatedDomains;
};

/** The VMs of a text that could be parsed, and a fault for each other one. */
struct ParsedVms : ListContent {
  std::vector<Error> Skipped;
};

/** The VMs of a list that could be parsed, and a fault for each other one. */
struct ParsedVmList {
  VmList List;
  std::vector<Error> Skipped;
};

/** Sorts \a Vms in the order of VmList::Vms. */
void sortVms(std::vector<Vm> &Vms);

/** Formats a list as the platform's JSON. Thread safety: safe. */
std::string formatPlatformVmList(const VmList &List);

/**
 * Parses the platform's JSON. A malformed VM is skipped, so that it has no
 * effect on the others. Errors: BadSyntax for a text that is no list of VMs
 * with a revision. Thread safety: safe.
 */
Result<ParsedVmList> parsePlatformVmList(const std::string &Text);

/**
 * Returns the manifest of a list, with one part for each service, so that a
 * change of one VM changes only one part, and one for the evacuated domains if
 * there are any; adds the texts of the parts to \a Parts. Names are
 * percent-encoded, so any text may be one. Every reader builds the same parts
 * from the same list.
 */
Manifest buildVmListManifest(const std::string &Mesh, const VmList &List,
                             PartsByDigest &Parts);

/**
 * Parses the parts of buildVmListManifest(); skips a malformed line.
 *
 * \pre \a Parts holds every part of \a Content.
 * Thread safety: safe.
 */
ParsedVms parseVmParts(const Manifest &Content, const PartsByDigest &Parts);

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_TREE_VMLIST_H
