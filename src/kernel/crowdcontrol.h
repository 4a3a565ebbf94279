#ifndef BLUEBELLBARROW_KERNEL_CROWDCONTROL_H
#define BLUEBELLBARROW_KERNEL_CROWDCONTROL_H

#include "clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace bluebellbarrow {

/** A connection whose client has not read all of its responses. */
struct UnreadConnection {
  uint64_t Id = 0;

  /** Bytes held for it. */
  size_t HeldBytes = 0;

  /** Time without an acknowledged byte. */
  Duration StalledFor{};
};

/**
 * Chooses the connection that is given up when the process holds too many
 * bytes: of those that have stalled for at least \a MinStall, the one that
 * holds most for longest without progress. Returns nothing if only ordinary
 * callers are left, which hold little.
 *
 * Load pattern: many clients that request long responses and read them slowly,
 * or not at all, beside ordinary callers.
 *
 * Thread safety: safe.
 */
std::optional<uint64_t>
chooseConnectionToGiveUp(const std::vector<UnreadConnection> &Candidates,
                         Duration MinStall);

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_CROWDCONTROL_H
