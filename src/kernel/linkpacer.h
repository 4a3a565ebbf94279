#ifndef BLUEBELLBARROW_KERNEL_LINKPACER_H
#define BLUEBELLBARROW_KERNEL_LINKPACER_H

#include "clock.h"

#include <cstddef>

namespace bluebellbarrow {

/**
 * Decides when a piece of a long message may be written, so that the network
 * link of the VM never has more to send than a few milliseconds' worth. Short
 * messages are written at once; they find the link nearly idle.
 *
 * Load pattern: long responses that ask for more than the link carries, beside
 * many short calls that others wait for.
 *
 * A token bucket: bytes are refilled at a share of the link's bandwidth; short
 * messages may overdraw it, pieces of long ones may not. Makes decisions only.
 *
 * Thread safety: none; owned by one task.
 */
class LinkPacer {
public:
  /** \a BytesPerSecond is the bandwidth of the link. \pre it is positive. */
  LinkPacer(double BytesPerSecond, TimePoint Now);

  /** Returns the time until a piece may be written; zero for now. */
  Duration timeToNextPiece(TimePoint Now) const;

  /** Called for all bytes that are written, of long and of short messages. */
  void onWritten(size_t Bytes, TimePoint Now);

  /** Returns the bytes of long messages that the link carries in a second. */
  double rate() const { return this->Rate; }

  /** Returns the time that the link takes to carry \a Bytes of long messages.
   */
  Duration timeToCarry(double Bytes) const;

private:
  double balanceAt(TimePoint Now) const;

  /** Bytes of long messages a second. */
  double Rate;

  double Balance;
  double MaxBalance;
  TimePoint UpdatedAt;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_LINKPACER_H
