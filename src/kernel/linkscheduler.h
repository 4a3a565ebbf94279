#ifndef BLUEBELLBARROW_KERNEL_LINKSCHEDULER_H
#define BLUEBELLBARROW_KERNEL_LINKSCHEDULER_H

#include "linkpacer.h"
#include "timer.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>

namespace bluebellbarrow {

class Task;

/**
 * Shares the VM's network link between connections that send long messages:
 * each writes one piece in its turn, at the pace of a LinkPacer.
 *
 * Thread safety: none; owned by one task.
 */
class LinkScheduler {
public:
  using SenderId = uint64_t;

  /**
   * Writes one piece, and returns the bytes written. 0 ends the sender's turns
   * until it requests them again.
   */
  using WritePiece = std::function<size_t()>;

  /** \pre \a Owner outlives the scheduler; \a BytesPerSecond is positive. */
  LinkScheduler(Task &Owner, double BytesPerSecond);

  /**
   * Returns the bytes of one piece of a long message. Shorter messages are
   * written at once.
   */
  size_t pieceBytes() const { return this->Piece; }

  /** Adds a sender of long messages. \pre removeSender() is called later. */
  SenderId addSender(WritePiece Write);

  /** Removes a sender; may be called by any WritePiece. */
  void removeSender(SenderId Id);

  /** Requests turns; has no effect while the sender has some. */
  void requestTurns(SenderId Id);

  /** Counts a short message. */
  void onShortMessage(size_t Bytes);

  /** Counts bytes of long messages that are to be sent, or no longer are. */
  void addBacklog(size_t Bytes) { this->BacklogBytes += Bytes; }

  void removeBacklog(size_t Bytes);

  /** Returns the bytes of long messages that are not written yet. */
  size_t backlogBytes() const { return this->BacklogBytes; }

  /** Counts expected bytes of long messages that do not exist yet. */
  void reserve(size_t Bytes) { this->ReservedBytes += Bytes; }

  /** Returns the bytes of reserve(). */
  size_t reservedBytes() const { return this->ReservedBytes; }

  /** Undoes reserve(). */
  void release(size_t Bytes);

  /**
   * Returns the time in which the link carries the backlog and the reserved
   * bytes.
   */
  Duration timeToClear() const;

  /** Returns the time in which an idle link carries \a Bytes. */
  Duration timeToCarry(double Bytes) const {
    return this->Pacer.timeToCarry(Bytes);
  }

  /** Returns the bytes of long messages that the link carries in a second. */
  double bytesPerSecond() const { return this->Pacer.rate(); }

private:
  void run();

  /** Queues a turn of a sender, unless it has one. */
  void addTurn(SenderId Id);

  LinkPacer Pacer;
  size_t Piece;
  Timer TurnTimer;
  std::map<SenderId, WritePiece> Senders;
  std::deque<SenderId> Turns;
  SenderId LastId = 0;
  size_t BacklogBytes = 0;
  size_t ReservedBytes = 0;
  bool Scheduled = false;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_LINKSCHEDULER_H
