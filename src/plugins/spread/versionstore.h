#ifndef BLUEBELLBARROW_SPREAD_VERSIONSTORE_H
#define BLUEBELLBARROW_SPREAD_VERSIONSTORE_H

#include "controlmessages.h"
#include "tree/manifest.h"

#include <deque>
#include <memory>
#include <vector>

namespace bluebellbarrow {

/** A version with its manifest and all its parts. */
struct FullVersion {
  VersionId Id;
  Manifest Content;
  PartsByDigest Parts;

  /** Returns the text at \a Path. \pre the path is in the manifest. */
  const std::string &partText(const std::string &Path) const;
};

using FullVersionPtr = std::shared_ptr<const FullVersion>;

/**
 * The current version of one kind and a few older ones, so that a peer can be
 * sent only the changes since the version that it has.
 *
 * Thread safety: none; owned by one task.
 */
class VersionStore {
public:
  explicit VersionStore(ResourceKind Kind) : Kind(Kind) {}

  /** Returns the current version, or null. */
  FullVersionPtr current() const {
    return this->Versions.empty() ? nullptr : this->Versions.front();
  }

  /** Returns the identity of the current version, or none. */
  VersionId currentId() const;

  /** Returns the identity of the version before the current one, or none. */
  VersionId previousId() const;

  /** Makes \a Version current. \pre it is newer than currentId(). */
  void setCurrent(FullVersionPtr Version);

  /**
   * Returns the current version as a delta against \a BaseId, or in full when
   * that version is not in the store. \pre there is a current version.
   */
  TransferMessage makeTransfer(const VersionId &BaseId) const;

  /**
   * Rebuilds the version that \a Message carries.
   *
   * Errors: NotFound for a base that is not in the store, Incomplete for a
   * missing part, DigestMismatch when the result is not the announced version.
   */
  Result<FullVersionPtr> rebuild(const TransferMessage &Message) const;

  /**
   * Returns the digests of the parts of \a Content that are neither in a stored
   * version nor in \a Fetched.
   */
  std::vector<Digest> missingParts(const Manifest &Content,
                                   const PartsByDigest &Fetched) const;

  /**
   * Returns the version of \a Content with its stored and fetched parts.
   *
   * \pre missingParts() is empty for the same arguments.
   */
  FullVersionPtr assemble(const Manifest &Content,
                          const PartsByDigest &Fetched) const;

private:
  const FullVersion *find(const VersionId &Id) const;

  ResourceKind Kind;

  /** Newest first. */
  std::deque<FullVersionPtr> Versions;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_SPREAD_VERSIONSTORE_H
