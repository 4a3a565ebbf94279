#ifndef BLUEBELLBARROW_KERNEL_SENDPROGRESS_H
#define BLUEBELLBARROW_KERNEL_SENDPROGRESS_H

#include "clock.h"

#include <cstddef>
#include <cstdint>

namespace bluebellbarrow {

class TcpConnection;

/**
 * Tracks whether the peer of a connection takes the bytes that are sent to it.
 * Acknowledged bytes are progress, however slow.
 *
 * Thread safety: none; owned by one task.
 */
class SendProgress {
public:
  explicit SendProgress(TimePoint Now) : LastProgressAt(Now) {}

  /**
   * Reads the state of \a Connection, which must be the same in every call.
   * \pre \a Now is not before that of other calls.
   */
  void update(const TcpConnection &Connection, TimePoint Now);

  /**
   * Returns false only if every byte that was sent on \a Connection was
   * delivered when update() was last called. Makes no system call.
   */
  bool mayBeIncomplete(const TcpConnection &Connection) const;

  /** Returns the bytes that were not acknowledged at the last update(). */
  size_t undeliveredBytes() const { return this->Undelivered; }

  /**
   * Returns the time without progress while bytes were undelivered, or since
   * the last one was delivered.
   */
  Duration timeWithoutProgress(TimePoint Now) const {
    return Now - this->LastProgressAt;
  }

private:
  uint64_t Delivered = 0;
  size_t Undelivered = 0;
  TimePoint LastProgressAt;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_SENDPROGRESS_H
