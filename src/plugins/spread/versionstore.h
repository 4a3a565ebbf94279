#ifndef BLUEBELLBARROW_SPREAD_VERSIONSTORE_H
#define BLUEBELLBARROW_SPREAD_VERSIONSTORE_H

#include "controlmessages.h"
#include "tree/manifest.h"

#include <deque>
#include <memory>
#include <vector>

namespace bluebellbarrow {

/** A version with everything that belongs to it. */
struct FullVersion {
  VersionId Id;
  Manifest Content;
  PartsByDigest Parts;

  /** Returns the text at \a Path. \pre the path is in the catalog. */
  const std::string &partText(const std::string &Path) const;
};

using FullVersionPtr = std::shared_ptr<const FullVersion>;

/**
 * The version of one kind that is in force and a few older ones, so that a
 * peer can be sent only what changed since the one it has.
 *
 * Thread safety: none; owned by one task.
 */
class VersionStore {
public:
  explicit VersionStore(ResourceKind Kind) : Kind(Kind) {}

  /** Returns the version in force, or null. */
  FullVersionPtr current() const {
    return this->Versions.empty() ? nullptr : this->Versions.front();
  }

  /** Returns the identity of the version in force, or none. */
  VersionId currentId() const;

  /** Returns the version that was replaced last, or none. */
  VersionId previousId() const;

  /** Puts \a Version in force. \pre it is newer than currentId(). */
  void setCurrent(FullVersionPtr Version);

  /**
   * Returns the version in force as the change from \a Have, or whole when
   * \a Have is not kept. \pre a version is in force.
   */
  TransferMessage makeTransfer(const VersionId &Have) const;

  /**
   * Rebuilds the version that \a Message carries.
   *
   * Errors: NotFound for a base that is not kept, Incomplete for a missing
   * text, DigestMismatch when the result is not the announced version.
   */
  Result<FullVersionPtr> rebuild(const TransferMessage &Message) const;

  /** Returns the digests that \a Wanted needs and no kept version holds. */
  std::vector<Digest> missingParts(const Manifest &Wanted,
                                   const PartsByDigest &Fetched) const;

  /**
   * Joins kept and fetched parts. \pre missing() is empty for them.
   */
  FullVersionPtr assemble(const Manifest &Wanted,
                          const PartsByDigest &Fetched) const;

private:
  const FullVersion *find(const VersionId &Id) const;

  ResourceKind Kind;

  /** Newest first. */
  std::deque<FullVersionPtr> Versions;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_SPREAD_VERSIONSTORE_H
