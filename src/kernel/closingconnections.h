#ifndef BLUEBELLBARROW_KERNEL_CLOSINGCONNECTIONS_H
#define BLUEBELLBARROW_KERNEL_CLOSINGCONNECTIONS_H

#include "clock.h"
#include "sendprogress.h"
#include "stalledconnection.h"
#include "tcpconnection.h"
#include "timer.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace bluebellbarrow {

class Task;

/** Time limits of ClosingConnections. */
struct ClosingOptions {
  /** Time without progress after which undelivered bytes are given up. */
  Duration StallTimeout = seconds(1);

  /** Time in which a peer that has received everything has to close. */
  Duration PeerCloseTimeout = seconds(1);

  /**
   * Resets the connection of a peer that has not closed by then, so that it
   * does not read what it has received later. Otherwise, the connection is
   * closed and the peer may still read everything.
   */
  bool ResetUnclosed = false;
};

/**
 * Connections that are being closed gracefully. Each sends what is queued, as
 * long as its peer makes progress, and drops what arrives until the peer has
 * closed. An immediate close would reset the connection, and the peer could
 * lose the last bytes.
 *
 * Destroying the object resets connections with queued bytes.
 *
 * Thread safety: none; owned by one task.
 */
class ClosingConnections {
public:
  using StallHandler = std::function<void(const StalledConnection &)>;

  /**
   * \a OnStalled is called for each connection that is given up; it may be
   * empty. \pre \a Owner outlives the object.
   */
  ClosingConnections(Task &Owner, const ClosingOptions &Options,
                     StallHandler OnStalled);

  ClosingConnections(const ClosingConnections &) = delete;
  ClosingConnections &operator=(const ClosingConnections &) = delete;

  ~ClosingConnections();

  void setStallTimeout(Duration Timeout) {
    this->Options.StallTimeout = Timeout;
  }

  /**
   * Takes ownership of a connection; one that is not established is destroyed.
   * May be called by the connection's own handlers.
   */
  void add(std::unique_ptr<TcpConnection> Closing);

  /** Returns the number of connections with undelivered bytes. */
  size_t undeliveredCount() const;

  /** Returns the memory of the connections' send queues, up to 0.1 s old. */
  size_t queuedBytes() const { return this->QueuedBytes; }

  /**
   * Returns the time without progress of the connection that has queued bytes
   * and has made none for longest; zero without any.
   */
  Duration longestStall(TimePoint Now) const;

  /** Gives up the connection of longestStall(). \pre there is one. */
  void dropLongestStalled(TimePoint Now);

private:
  struct Entry;
  using EntryId = uint64_t;
  using Entries = std::map<EntryId, std::unique_ptr<Entry>>;

  void poll();
  void countQueuedBytes();

  /** Returns true if the connection stays. */
  bool pollEntry(Entry &Polled, TimePoint Now);
  void giveUp(const Entry &Stalled, StallLimit Limit, TimePoint Now);
  Entries::const_iterator findLongestStalled(TimePoint Now) const;

  Task &Owner;
  ClosingOptions Options;
  StallHandler OnStalled;
  Entries Closing;
  EntryId LastId = 0;
  size_t QueuedBytes = 0;
  Timer PollTimer;

  /** False once the object is destroyed; shared with posted functions. */
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_CLOSINGCONNECTIONS_H
