#ifndef BLUEBELLBARROW_SPREAD_CATALOGSTORE_H
#define BLUEBELLBARROW_SPREAD_CATALOGSTORE_H

#include "spreadmessages.h"
#include "tree/catalog.h"

#include <deque>
#include <memory>
#include <vector>

namespace bluebellbarrow {

/** A version with everything that belongs to it. */
struct WholeVersion {
  VersionId Id;
  Catalog Content;
  PartsByDigest Parts;

  /** Returns the text at \a Path. \pre the path is in the catalog. */
  const std::string &text(const std::string &Path) const;
};

using WholeVersionPtr = std::shared_ptr<const WholeVersion>;

/**
 * The version of one kind that is in force and a few older ones, so that a
 * peer can be sent only what changed since the one it has.
 *
 * Thread safety: none; owned by one task.
 */
class CatalogStore {
public:
  explicit CatalogStore(ItemKind Kind) : Kind(Kind) {}

  /** Returns the version in force, or null. */
  WholeVersionPtr current() const {
    return this->Versions.empty() ? nullptr : this->Versions.front();
  }

  /** Returns the identity of the version in force, or none. */
  VersionId currentId() const;

  /** Returns the version that was replaced last, or none. */
  VersionId previousId() const;

  /** Puts \a Version in force. \pre it is newer than currentId(). */
  void put(WholeVersionPtr Version);

  /**
   * Returns the version in force as the change from \a Have, or whole when
   * \a Have is not kept. \pre a version is in force.
   */
  TransferMessage transferFrom(const VersionId &Have) const;

  /**
   * Rebuilds the version that \a Message carries.
   *
   * Errors: NotFound for a base that is not kept, Incomplete for a missing
   * text, DigestMismatch when the result is not the announced version.
   */
  Result<WholeVersionPtr> rebuild(const TransferMessage &Message) const;

  /** Returns the digests that \a Wanted needs and no kept version holds. */
  std::vector<Digest> missing(const Catalog &Wanted,
                              const PartsByDigest &Fetched) const;

  /**
   * Joins kept and fetched parts. \pre missing() is empty for them.
   */
  WholeVersionPtr assemble(const Catalog &Wanted,
                           const PartsByDigest &Fetched) const;

private:
  const WholeVersion *find(const VersionId &Id) const;

  ItemKind Kind;

  /** Newest first. */
  std::deque<WholeVersionPtr> Versions;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_SPREAD_CATALOGSTORE_H
