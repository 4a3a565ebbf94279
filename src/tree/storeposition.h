#ifndef BLUEBELLBARROW_TREE_STOREPOSITION_H
#define BLUEBELLBARROW_TREE_STOREPOSITION_H

#include "manifest.h"

#include <compare>
#include <cstdint>

namespace bluebellbarrow {

/**
 * Position in the history of the platform's store. A store that is restored
 * from an older copy repeats revisions, so a revision alone does not order two
 * states: the era, which the store raises with each restore, comes first.
 */
struct StorePosition {
  /** Restores of the store so far; 0 if it does not tell. */
  uint64_t Era = 0;

  /** Revision within the era. */
  uint64_t Revision = 0;

  auto operator<=>(const StorePosition &) const = default; // NOLINT

  /**
   * Returns a number that orders like the position, as long as the era is below
   * 2^20 and the revision below 2^44. Thread safety: safe.
   */
  VersionNumber toNumber() const;

  /** Returns the position that toNumber() was called for. */
  static StorePosition fromNumber(VersionNumber Number);
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_TREE_STOREPOSITION_H
