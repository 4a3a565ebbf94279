#ifndef BLUEBELLBARROW_SPREAD_READSCHEDULE_H
#define BLUEBELLBARROW_SPREAD_READSCHEDULE_H

#include "controlmessages.h"
#include "kernel/clock.h"
#include "readorder.h"

#include <map>
#include <optional>
#include <random>
#include <vector>

namespace bluebellbarrow {

/** Tuning of a ReadSchedule. */
struct ReadScheduleOptions {
  /** Nodes that read continuously: the first ones in the read order. */
  int64_t ReaderCount = 2;

  /** Age of the last successful read at which another node takes over. */
  Duration TakeoverAge = milliseconds(1500);

  /** Additional delay for each node that is earlier in the read order. */
  Duration TakeoverStep = milliseconds(300);

  /**
   * While no node is listed, other nodes query this one before they read
   * the platform.
   */
  bool IsSeed = true;

  /** Maximum rate of requests of the whole fleet, per second. */
  double FleetRequestsPerSecond = 100;
};

/**
 * Decides when this node reads the platform, so that few nodes of the fleet
 * do, without a leader election. The first nodes of the read order read
 * continuously. Digests carry the age of the last successful read; when that
 * is too old, another node takes over, after a delay that grows with its
 * position. A reader announces a failed read, and the next node then takes
 * over without waiting for the age.
 *
 * Thread safety: none; owned by one task.
 */
class ReadSchedule {
public:
  /** \pre \a Order outlives the schedule. */
  ReadSchedule(ReadScheduleOptions Options, VmName Self, const ReadOrder &Order,
               uint64_t Seed, TimePoint Now);

  void setOptions(const ReadScheduleOptions &NewOptions) {
    this->Options = NewOptions;
  }

  /** The VM list or the announcements of its nodes have changed. */
  void onOrderChanged() { this->OrderChanged = true; }

  /** Returns this node's position in the read order. */
  size_t position() const { return this->Order.position(this->Self); }

  /**
   * Applies the read status in a digest of \a Sender. Returns true when the
   * last successful read is clearly newer than the one known before.
   */
  bool onPeerReadStatus(const VmName &Sender, const PlatformReadStatus &Status,
                        TimePoint Now);

  /** Restarts the takeover delay at \a Now. */
  void restartTakeoverDelay(TimePoint Now);

  /** A read by this node succeeded. */
  void onReadSucceeded(TimePoint Now);

  /**
   * A read failed; the backoff grows with each failure. Returns true when
   * peers should be notified at once, since they may wait for this node.
   */
  bool onReadFailed(TimePoint Now);

  /** Decides whether this node should read, or continue to read. */
  bool shouldRead(TimePoint Now);

  /** Returns true when the last successful read is nearly at TakeoverAge. */
  bool isDueSoon(TimePoint Now) const;

  /** Returns true when peers should be queried for the last read's age. */
  bool shouldQueryPeers(TimePoint Now) const;

  /** Peers were queried for the last read's age. */
  void onPeersQueried(TimePoint Now) { this->LastQuery = Now; }

  /** Returns the last decision of shouldRead(). */
  bool isReading() const { return this->DecidedToRead; }

  /** Returns the read status for this node's digests. */
  PlatformReadStatus readStatus(TimePoint Now) const;

  /** Returns the age of the newest successful read known, if any. */
  std::optional<Duration> lastSuccessAge(TimePoint Now) const;

  /** Returns when the first read after the last outage succeeded, if any. */
  std::optional<TimePoint> recoveredAt() const { return this->RecoveredAt; }

  /**
   * Returns true when the last successful read is so old that the platform
   * counts as down.
   */
  bool isPlatformDown(TimePoint Now) const;

  /**
   * Discards the last successful read, whose age is meaningless after a pause
   * of the process.
   */
  void clearLastSuccess() { this->LastSuccess.reset(); }

private:
  /** The last successful read of one node. */
  struct Reader {
    VmName Name;
    TimePoint LastSuccess;
  };

  void refreshOrder(TimePoint Now);
  bool decideRead(TimePoint Now);
  bool yieldsToReader(TimePoint Now) const;
  bool isDesignatedReader() const;
  bool hasFailed(const VmName &Name) const;
  bool knownReaderHasFailed() const;

  /** Returns the number of earlier nodes with no failure since LastSuccess. */
  int64_t awaitedCount() const;

  Duration takeoverDelay() const;

  /** Returns the time for one request per node at FleetRequestsPerSecond. */
  Duration fleetReadPeriod() const;

  void drawJitter();
  void recordPeerFailure(const VmName &Sender, const PlatformReadStatus &Status,
                         TimePoint Now);
  void updateKnownReader(const Reader &Reported, TimePoint Now);
  void recordSuccess(TimePoint SuccessTime);

  ReadScheduleOptions Options;
  VmName Self;
  const ReadOrder &Order;
  std::mt19937_64 Random;

  /** Nodes that are earlier in the read order, at most MaxEarlierNodes. */
  std::vector<VmName> EarlierNodes;

  bool OrderChanged = true;
  bool OrderKnown = false;
  TimePoint NextRefresh;

  /** The newest successful read known. */
  std::optional<TimePoint> LastSuccess;

  /** When the first read after the last outage succeeded. */
  std::optional<TimePoint> RecoveredAt;

  /** The first node in the read order that is known to read. */
  std::optional<Reader> KnownReader;

  /** Other nodes whose last read failed, and when. */
  std::map<VmName, TimePoint> FailedNodes;

  TimePoint LastAttempt;

  /** Earliest start of the takeover delay; a later read postpones it. */
  TimePoint WaitStart;

  TimePoint LastQuery;

  /** End of the backoff after a failed read. */
  TimePoint NotBefore;
  int Failures = 0;

  /** This node reads until one that is earlier in the order does. */
  bool IsActingReader = false;

  /** The last decision of shouldRead(). */
  bool DecidedToRead = false;

  /** Random, from 0 to 1; drawn again after each failure. */
  double Jitter = 0;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_SPREAD_READSCHEDULE_H
