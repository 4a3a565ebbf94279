#ifndef BLUEBELLBARROW_TREE_MANIFEST_H
#define BLUEBELLBARROW_TREE_MANIFEST_H

#include "kernel/digest.h"
#include "kernel/error.h"
#include "kernel/ids.h"

#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bluebellbarrow {

/** Kinds of resources that are versioned and disseminated. */
enum class ResourceKind : uint8_t {
  /** The settings tree, as the operators published it. */
  Config = 0,

  /** The platform's list of VMs. */
  VmList = 1,
};

inline constexpr size_t ResourceKindCount = 2;

/** Returns the name of \a Kind for logs. */
const char *resourceKindName(ResourceKind Kind);

/** Number of a version, given by the operators or the platform. */
using VersionNumber = StrongNumber<struct VersionNumberTag>;

/**
 * Identity of a version: the number that its source gave it and the digest of
 * its manifest. The order is the same on every node, so that all nodes choose
 * the same version if a number was given twice.
 */
struct VersionId {
  VersionNumber Number;
  Digest Hash;

  auto operator<=>(const VersionId &) const = default; // NOLINT

  /** Returns true for the value that means "no version". */
  bool isNone() const { return this->Number.value() == 0; }

  /** Returns "number-digest", with the digest shortened, for logs. */
  std::string text() const;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Number, this->Hash);
  }
};

/** One part of a version: a branch, or the VMs of a service. */
struct ManifestEntry {
  /** Path of the branch, or name of the service. */
  std::string Path;

  Digest Hash;

  /** In bytes. */
  uint64_t Size = 0;

  auto operator<=>(const ManifestEntry &) const = default; // NOLINT

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Path, this->Hash, this->Size);
  }
};

/** A blob that holds the texts of many parts, for nodes that have none yet. */
struct ManifestBundle {
  Digest Hash;

  /** In bytes. */
  uint64_t Size = 0;

  auto operator<=>(const ManifestBundle &) const = default; // NOLINT

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Hash, this->Size);
  }
};

/** Index of a version. */
struct Manifest {
  std::string Mesh;
  VersionNumber Number;

  /** Number of the version that this one is based on; 0 for none. */
  VersionNumber Parent;

  /** Sorted by path, each path once. */
  std::vector<ManifestEntry> Entries;

  std::vector<ManifestBundle> Bundles;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Mesh, this->Number, this->Parent, this->Entries, this->Bundles);
  }
};

/** Returns the identity of \a Content. Thread safety: safe. */
VersionId computeVersionId(const Manifest &Content);

/** Formats a manifest as JSON for the platform. Thread safety: safe. */
std::string formatManifest(const Manifest &Content);

/**
 * Parses the platform's JSON. Errors: BadSyntax, also for paths that are not
 * sorted, a path that occurs twice, or a version of 0. Thread safety: safe.
 */
Result<Manifest> parseManifest(const std::string &Text);

/** The text of a part; shared, since versions have most parts in common. */
using PartText = std::shared_ptr<const std::string>;

/** Parts by digest. */
using PartsByDigest = std::map<Digest, PartText>;

/**
 * Adds a part to \a Content and its text to \a Parts.
 *
 * \pre \a Path sorts after the paths that were added before.
 */
void addPart(Manifest &Content, PartsByDigest &Parts, const std::string &Path,
             const std::string &Text);

/** Formats the texts of \a Parts as one bundle. */
std::string formatBundle(const std::vector<PartText> &Parts);

/** Parses a bundle. Errors: BadSyntax. */
Result<PartsByDigest> parseBundle(const std::string &Text);

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_TREE_MANIFEST_H
