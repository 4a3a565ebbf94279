#ifndef BLUEBELLBARROW_PLATFORM_STOREMIRROR_H
#define BLUEBELLBARROW_PLATFORM_STOREMIRROR_H

#include "keyvaluestore.h"

#include <map>
#include <memory>
#include <string>

namespace bluebellbarrow {

/** Which resources a response of the store changed. */
struct MirrorChange {
  bool Config = false;
  bool Targets = false;
};

/**
 * Local copy of the configuration and the targets in a store. It is built from
 * pages, kept up to date from changes, and formatted as a manifest with its
 * parts and as a VM list.
 *
 * A value that cannot be parsed is logged and left out, without effect on the
 * others. Of several targets with one IP address and port, only the one that
 * started last is listed. The remaining warm-up time of a target stays as it
 * was first listed until the target starts again, since it only decreases.
 *
 * Thread safety: none; owned by one task.
 */
class StoreMirror {
public:
  /** \pre \a Schema outlives the mirror. */
  StoreMirror(const StoreSchema &Schema, std::string Mesh)
      : Schema(Schema), Mesh(std::move(Mesh)) {}

  /**
   * Starts a new listing of all items. The targets of the previous one stay
   * until the last page is applied.
   */
  void restartListing();

  /** Applies one page of a listing; the last one completes the mirror. */
  MirrorChange applyPage(const StoreResponse &Page);

  /** Applies changes, oldest first. */
  MirrorChange applyChanges(const StoreResponse &Changes);

  /** Returns true once every page of the listing has been applied. */
  bool isComplete() const { return this->Complete; }

  /** Returns the revision after which changes are to be read. */
  uint64_t watchRevision() const { return this->WatchRevision; }

  /** Returns the key that the next page follows; empty for the first one. */
  const std::string &pageCursor() const { return this->PageCursor; }

  /** Returns the revision of the current configuration; 0 for none. */
  uint64_t configRevision() const { return this->ConfigRevision; }

  /** Returns the revision of the VM list; 0 before the first listing ends. */
  uint64_t vmListRevision() const { return this->VmListRevision; }

  /** Returns the current manifest. \pre configRevision() is not 0. */
  const std::string &manifest() const { return this->ManifestText; }

  /** Returns the VM list in the platform's format. */
  std::string vmList() const;

  /** Returns a part of the current or previous manifest, or null. */
  PartText part(const Digest &Hash) const;

private:
  bool applyConfig(const StoreItem &Item);
  bool applyTarget(const StoreItem &Item);
  MirrorChange applyItem(const StoreItem &Item);
  std::vector<Vm> listedVms() const;

  const StoreSchema &Schema;
  std::string Mesh;

  /** Targets of the last complete listing and the changes since, by key. */
  std::map<std::string, Vm> Targets;

  /** Targets on the pages of an incomplete listing, by key. */
  std::map<std::string, Vm> PagedTargets;

  /** Digest of the value that the configuration was parsed from. */
  Digest ConfigHash;

  std::string ManifestText;
  PartsByDigest Parts;
  PartsByDigest PreviousParts;
  std::string PageCursor;
  uint64_t WatchRevision = 0;
  uint64_t ConfigRevision = 0;
  uint64_t VmListRevision = 0;

  /** True until the first page of a listing is applied. */
  bool ExpectsFirstPage = true;

  bool Complete = false;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_PLATFORM_STOREMIRROR_H
