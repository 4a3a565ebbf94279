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

/** A key of a store with its value, or the removal of a key. */
struct StoreItem {
  std::string Key;

  /** std::nullopt when the key was removed. */
  std::optional<std::string> Value;

  /** Revision of the store at the last change of the key. */
  uint64_t Revision = 0;
};

/** Outcome of a read of a store. */
enum class StoreStatus {
  Ok,

  /** The requested changes are no longer kept; list all items again. */
  Compacted,

  Failed,
};

/** Response to a read: a page of items, or changes with the oldest first. */
struct StoreResponse {
  StoreStatus Status = StoreStatus::Failed;
  std::vector<StoreItem> Items;

  /** Revision of the store at the time of the response. */
  uint64_t Revision = 0;

  /**
   * Number of times that the store was restored from an older copy; 0 if it
   * does not tell. Revisions of different eras can't be compared.
   */
  uint64_t Era = 0;

  /** True when more items follow the last one. */
  bool HasMore = false;

  /** Reason of the failure when Status is Failed. */
  std::string Cause;
};

/**
 * Client of a key-value store that counts its changes in one revision number.
 *
 * Thread safety: none; owned by one task.
 */
class KeyValueStore {
public:
  using Done = std::function<void(StoreResponse)>;

  virtual ~KeyValueStore() = default;

  /**
   * Reads a page of items whose keys follow \a After, sorted by key; an empty
   * \a After reads the first page.
   */
  virtual void readItems(const std::string &After, Done OnDone) = 0;

  /**
   * Reads the changes since revision \a Since. When there are none, the store
   * waits up to \a LongPollTimeout for the first one.
   */
  virtual void awaitChanges(uint64_t Since, Duration LongPollTimeout,
                            Done OnDone) = 0;
};

/** A configuration parsed from its value in a store. */
struct StoredConfig {
  VersionNumber Number;
  BranchTexts Branches;
};

/** Kind of value that a key of a store has. */
enum class StoreKeyKind { Config, Target, Evacuation, Other };

/**
 * Interprets the keys and values of a store.
 *
 * Thread safety: immutable, safe.
 */
class StoreSchema {
public:
  virtual ~StoreSchema() = default;

  virtual StoreKeyKind classifyKey(const std::string &Key) const = 0;

  /**
   * Parses the value of a Config key. \a Mesh is the name of the settings
   * tree. Errors: a malformed value.
   */
  virtual Result<StoredConfig> parseConfig(const std::string &Value,
                                           const std::string &Mesh) const = 0;

  /** Parses a Target key and its value. Errors: a malformed value. */
  virtual Result<Vm> parseTarget(const std::string &Key,
                                 const std::string &Value) const = 0;

  /** Returns the domain that an Evacuation key names; may be empty. */
  virtual FailureDomain evacuatedDomain(const std::string &Key) const = 0;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_PLATFORM_KEYVALUESTORE_H
