#ifndef BLUEBELLBARROW_PLATFORM_KEYVALUESTORE_H
#define BLUEBELLBARROW_PLATFORM_KEYVALUESTORE_H

#include "kernel/clock.h"
#include "kernel/error.h"
#include "tree/settingstree.h"
#include "tree/vmlist.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace bluebellbarrow {

/** One key as a store holds it, or its removal. */
struct StoreItem {
  std::string Key;

  /** Nothing when the key was removed. */
  std::optional<std::string> Value;

  /** Revision of the store at the key's last change. */
  uint64_t Revision = 0;
};

/** How a read of a store ended. */
enum class StoreStatus {
  Ok,

  /** The changes asked for are no longer kept; everything must be read. */
  Compacted,

  Failed,
};

/** The end of a read: items, or changes in their order. */
struct StoreResponse {
  StoreStatus Status = StoreStatus::Failed;
  std::vector<StoreItem> Items;

  /** Revision of the store at the answer. */
  uint64_t Revision = 0;

  /** More items follow after the last one. */
  bool HasMore = false;

  /** What went wrong, when End is Failed. */
  std::string Cause;
};

/**
 * A store of keys and values with one counter of revisions, read over the
 * network.
 *
 * Thread safety: none; owned by one task.
 */
class KeyValueStore {
public:
  using Done = std::function<void(StoreResponse)>;

  virtual ~KeyValueStore() = default;

  /** Reads the items after \a After, in the order of keys. */
  virtual void readItems(const std::string &After, Done OnDone) = 0;

  /**
   * Reads the changes since revision \a Since; waits for the first one for
   * \a Wait at most.
   */
  virtual void awaitChanges(uint64_t Since, Duration Wait, Done OnDone) = 0;
};

/** A configuration as a store holds it. */
struct StoredConfig {
  VersionNumber Number;
  BranchTexts Branches;
};

/** What a key of a store holds. */
enum class StoreKeyKind { Config, Target, Other };

/**
 * The meaning of a store's keys and values.
 *
 * Thread safety: immutable, safe.
 */
class StoreSchema {
public:
  virtual ~StoreSchema() = default;

  virtual StoreKeyKind classifyKey(const std::string &Key) const = 0;

  /** Reads a Config. \a Mesh names the tree. Errors: what is malformed. */
  virtual Result<StoredConfig> parseConfig(const std::string &Value,
                                           const std::string &Mesh) const = 0;

  /** Reads a Target with its VM. Errors: what is malformed. */
  virtual Result<Vm> parseTarget(const std::string &Key,
                                 const std::string &Value) const = 0;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_PLATFORM_KEYVALUESTORE_H
