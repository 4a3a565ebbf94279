#ifndef BLUEBELLBARROW_KERNEL_STALLEDCONNECTION_H
#define BLUEBELLBARROW_KERNEL_STALLEDCONNECTION_H

#include "clock.h"
#include "endpoint.h"

#include <cstddef>

namespace bluebellbarrow {

/** Which limit ended a connection whose peer made no progress. */
enum class StallLimit {
  /** The time without progress. */
  Time,

  /** The bytes that may be held at once; this one had stalled for longest. */
  HeldBytes,
};

/** A connection that was given up because its peer made no progress. */
struct StalledConnection {
  Endpoint Peer;
  StallLimit Limit = StallLimit::Time;

  /** Time without progress. */
  Duration StalledFor{};

  /** Bytes that the peer has not acknowledged. */
  size_t UndeliveredBytes = 0;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_STALLEDCONNECTION_H
