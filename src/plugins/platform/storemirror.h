#ifndef BLUEBELLBARROW_PLATFORM_STOREMIRROR_H
#define BLUEBELLBARROW_PLATFORM_STOREMIRROR_H

#include "keyvaluestore.h"

#include <map>
#include <memory>
#include <string>

namespace bluebellbarrow {

/** What an answer of the store has changed. */
struct MirrorChange {
  bool Config = false;
  bool Targets = false;
};

/**
 * The part of a store that the product reads, kept up to date from pages and
 * changes, and turned into what the platform publishes: a manifest with its
 * parts, and a VM list.
 *
 * A value that can't be read is left out and harms no other. Of two targets
 * with one address only the one that started last is listed. A target's time
 * of being slow is kept as it was first listed, since it only runs down.
 * Thread safety: none; owned by one task.
 */
class StoreMirror {
public:
  /** \pre \a Schema outlives the mirror. */
  StoreMirror(const StoreSchema &Schema, std::string Mesh)
      : Schema(Schema), Mesh(std::move(Mesh)) {}

  /** Starts to take in everything anew. */
  void restartListing();

  /** Takes in one page; after the last one the mirror is complete. */
  MirrorChange applyPage(const StoreResponse &Page);

  MirrorChange applyChanges(const StoreResponse &Changes);

  /** Returns true once every page was read. */
  bool isComplete() const { return this->Complete; }

  /** Returns the revision from which changes are needed. */
  uint64_t watchRevision() const { return this->WatchRevision; }

  /** Returns the key after which the next page begins. */
  const std::string &pageCursor() const { return this->PageCursor; }

  /** Revision of the last change of the configuration; 0 for none. */
  uint64_t configRevision() const { return this->ConfigRevision; }

  /** Revision of the last change of the list; 0 before it is complete. */
  uint64_t vmListRevision() const { return this->VmListRevision; }

  /** Returns the manifest in force. \pre configRevision() is not 0. */
  const std::string &manifest() const { return this->ManifestText; }

  /** Returns the VM list in the platform's form. */
  std::string vmList() const;

  /** Returns a part of this manifest or the one before, or null. */
  PartText part(const Digest &Hash) const;

private:
  bool applyConfig(const StoreItem &Item);
  bool applyTarget(const StoreItem &Item);
  MirrorChange applyItem(const StoreItem &Item);
  std::vector<Vm> listedVms() const;

  const StoreSchema &Schema;
  std::string Mesh;
  std::map<std::string, Vm> Targets;

  /** Keys of the targets seen on the pages of the current reading. */
  std::map<std::string, Vm> PagedTargets;

  /** Digest of the configuration's value. */
  Digest ConfigHash;

  std::string ManifestText;
  PartsByDigest Parts;
  PartsByDigest PreviousParts;
  std::string PageCursor;
  uint64_t WatchRevision = 0;
  uint64_t ConfigRevision = 0;
  uint64_t VmListRevision = 0;
  bool FirstPage = true;
  bool Complete = false;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_PLATFORM_STOREMIRROR_H
