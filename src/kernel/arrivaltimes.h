#ifndef BLUEBELLBARROW_KERNEL_ARRIVALTIMES_H
#define BLUEBELLBARROW_KERNEL_ARRIVALTIMES_H

#include "clock.h"

#include <cstddef>
#include <deque>

namespace bluebellbarrow {

/**
 * Remembers when the unparsed bytes of a connection were received, so that the
 * deadline of a request that waits in the buffer counts from its arrival.
 *
 * Thread safety: none; owned by one task.
 */
class ArrivalTimes {
public:
  /** Adds received bytes. \pre \a Now is not before that of earlier calls. */
  void record(size_t Bytes, TimePoint Now);

  /** Forgets all but the last \a Bytes bytes. */
  void keepLast(size_t Bytes);

  bool empty() const { return this->Chunks.empty(); }

  /**
   * Returns when the oldest of the bytes was received, at most
   * ChunkTime too early. \pre not empty().
   */
  TimePoint oldest() const { return this->Chunks.front().ReceivedAt; }

  /** Bytes that are received within this time share one entry. */
  static constexpr Duration ChunkTime = milliseconds(5);

private:
  struct Chunk {
    size_t Bytes = 0;
    TimePoint ReceivedAt;
  };

  std::deque<Chunk> Chunks;
  size_t TotalBytes = 0;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_ARRIVALTIMES_H
