#ifndef BLUEBELLBARROW_PLATFORM_STOREMIRROR_H
#define BLUEBELLBARROW_PLATFORM_STOREMIRROR_H

#include "keyvaluestore.h"
#include "tree/storeposition.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace bluebellbarrow {

/** Which resources a response of the store changed. */
struct MirrorChange {
  bool Config = false;

  /** The VM list: its targets or its evacuated domains. */
  bool List = false;
};

/**
 * Local copy of the configuration and the targets in a store. It is built from
 * pages, kept up to date from changes, and formatted as a manifest with its
 * parts and as a VM list.
 *
 * A value that cannot be parsed is logged and left out, without effect on the
 * others. Of several targets with one IP address and port, only the one that
 * started last is listed. The remaining warm-up time of a target stays as it
 * was first listed while it decreases, so that a target that warms up does not
 * change the list; it is set anew when the target becomes cold again.
 *
 * The store may come back with an older state, which it tells by its era. The
 * numbers of the VM list and of the configuration's position then go on rising,
 * since they hold the era; see StorePosition.
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

  /**
   * Starts a new listing of a store that was restored: revisions count from
   * anew, and what was listed stays until the last page is applied.
   */
  void startEra(uint64_t NewEra);

  /** Returns the era of the store's responses that were applied last. */
  uint64_t era() const { return this->Era; }

  /** Returns true once every page of the listing has been applied. */
  bool isComplete() const { return this->Complete; }

  /** Returns the revision after which changes are to be read. */
  uint64_t watchRevision() const { return this->WatchRevision; }

  /** Returns the key that the next page follows; empty for the first one. */
  const std::string &pageCursor() const { return this->PageCursor; }

  /**
   * Returns the position of the current configuration as a number; 0 for none
   * in this era.
   */
  uint64_t configPosition() const { return this->ConfigPosition; }

  /**
   * Returns the position of the VM list as a number; 0 before the first listing
   * of this era ends.
   */
  uint64_t listPosition() const { return this->ListPosition; }

  /** Returns the current manifest. \pre configPosition() is not 0. */
  const std::string &manifest() const { return this->ManifestText; }

  /** Returns the VM list in the platform's format. */
  std::string vmList() const;

  /** Returns a part of the current or previous manifest, or null. */
  PartText part(const Digest &Hash) const;

private:
  /** A target's entry, and the warm-up time that was received last. */
  struct ListedTarget {
    Vm Entry;
    Duration LastWarmUp{};

    bool operator==(const ListedTarget &Other) const {
      return this->Entry == Other.Entry;
    }
  };

  /** What a listing holds besides the configuration. */
  struct ListedState {
    /** By key. */
    std::map<std::string, ListedTarget> Targets;

    std::set<FailureDomain> EvacuatedDomains;

    bool operator==(const ListedState &) const = default;
  };

  bool applyConfig(const StoreItem &Item);
  bool applyTarget(const StoreItem &Item);
  bool applyEvacuation(const StoreItem &Item);
  MirrorChange applyItem(const StoreItem &Item);
  std::vector<Vm> listedVms() const;

  /** Returns the position of \a Revision in this era as a number. */
  uint64_t positionOf(uint64_t Revision) const;

  const StoreSchema &Schema;
  std::string Mesh;

  /** The last complete listing and the changes since. */
  ListedState Listed;

  /** The pages of an incomplete listing. */
  ListedState Paged;

  /** Digest of the value that the configuration was parsed from. */
  Digest ConfigHash;

  std::string ManifestText;
  PartsByDigest Parts;
  PartsByDigest PreviousParts;
  std::string PageCursor;
  uint64_t WatchRevision = 0;
  uint64_t Era = 0;
  uint64_t ConfigPosition = 0;
  uint64_t ListPosition = 0;

  /** True until the first page of a listing is applied. */
  bool ExpectsFirstPage = true;

  bool Complete = false;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_PLATFORM_STOREMIRROR_H
