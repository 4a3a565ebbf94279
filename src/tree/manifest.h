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

/** The streams of versions that are spread. */
enum class ResourceKind : uint8_t {
  /** The tree of settings, as the operators accepted it. */
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
 * Identity of a version: its source's own number and the digest of its
 * catalog. The order is the same everywhere and settles a number that was
 * given twice.
 */
struct VersionId {
  VersionNumber Number;
  Digest Hash;

  auto operator<=>(const VersionId &) const = default; // NOLINT

  /** Returns true for the version that stands for "none". */
  bool isNone() const { return this->Number.value() == 0; }

  /** Returns "number-digest", with the digest shortened, for logs. */
  std::string text() const;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Number, this->Hash);
  }
};

/** One part of a version: a branch, or the VMs of a service. */
struct ManifestEntry {
  std::string Path;
  Digest Hash;
  uint64_t Size = 0;

  auto operator<=>(const ManifestEntry &) const = default; // NOLINT

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Path, this->Hash, this->Size);
  }
};

/** Texts that hold many parts, for a reader that has none of them. */
struct ManifestBundle {
  Digest Hash;
  uint64_t Size = 0;

  auto operator<=>(const ManifestBundle &) const = default; // NOLINT

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Hash, this->Size);
  }
};

/** What a version consists of. */
struct Manifest {
  std::string Mesh;
  VersionNumber Number;

  /** Number of the version that this one was made from; 0 for none. */
  VersionNumber Parent;

  /** Sorted by path, each path once. */
  std::vector<ManifestEntry> Entries;

  std::vector<ManifestBundle> Bundles;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Mesh, this->Number, this->Parent, this->Entries, this->Bundles);
  }
};

/** Returns the identity of \a Of. Thread safety: safe. */
VersionId computeVersionId(const Manifest &Of);

/** Returns the manifest that the platform holds. Thread safety: safe. */
std::string formatManifest(const Manifest &Of);

/** Reads a manifest. Errors: what is wrong with it. Thread safety: safe. */
Result<Manifest> parseManifest(const std::string &Text);

/** The text of a part; shared, since versions have most parts in common. */
using PartText = std::shared_ptr<const std::string>;

/** Parts by digest. */
using PartsByDigest = std::map<Digest, PartText>;

/** Adds a part to \a Of and its text to \a Parts. \pre paths come sorted. */
void addPart(Manifest &Of, PartsByDigest &Parts, const std::string &Path,
             const std::string &Text);

/** Packs the texts of \a Parts into one bundle. */
std::string formatBundle(const std::vector<PartText> &Parts);

/** Unpacks a bundle. Errors: BadSyntax for a text that is none. */
Result<PartsByDigest> parseBundle(const std::string &Text);

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_TREE_MANIFEST_H
