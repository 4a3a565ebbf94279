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
  /** Nodes of the fleet that read all the time. */
  int64_t ReaderCount = 2;

  /** Age of the last good read at which another node reads. */
  Duration TakeoverAge = milliseconds(1500);

  /** Time by which a node waits longer for each better-placed one. */
  Duration TakeoverStep = milliseconds(300);

  /** Others ask this node before the platform, while none is listed. */
  bool IsSeed = true;

  /** Requests per second that the whole fleet may make at most. */
  double FleetRequestsPerSecond = 100;
};

/**
 * Decides when this node reads the platform, so that few nodes of the fleet
 * do, without an election. The nodes have places in one order; the first ones
 * read all the time. Each node hears how old the last good read is, and reads
 * itself when that is too old: the better its place, the sooner. A reader
 * whose read fails says so, and the next one need not wait for the age.
 *
 * Thread safety: none; owned by one task.
 */
class ReadSchedule {
public:
  /** \pre \a Order outlives the schedule. */
  ReadSchedule(ReadScheduleOptions Options, VmName Self, const ReadOrder &Order,
               uint64_t Seed, TimePoint Now);

  void setOptions(const ReadScheduleOptions &New) { this->Options = New; }

  /** The list of nodes, or what they say of themselves, has changed. */
  void onOrderChanged() { this->OrderChanged = true; }

  /** Returns this node's place in the order. */
  size_t position() const { return this->Order.position(this->Self); }

  /**
   * Takes in what a digest of \a Sender says of reads. Returns true when the
   * last good read is clearly newer than was known.
   */
  bool onPeerReadStatus(const VmName &Sender, const PlatformReadStatus &News,
                        TimePoint Now);

  /** Counts the wait for the reads of others from \a Now on. */
  void restartWait(TimePoint Now);

  /** The platform has answered. */
  void onReadSucceeded(TimePoint Now);

  /**
   * A read failed; the node waits longer after each. Returns true when others
   * should hear of it at once, since they may wait for this node.
   */
  bool onReadFailed(TimePoint Now);

  /** Decides whether this node should read, or go on reading. */
  bool shouldRead(TimePoint Now);

  /** Returns true when the last good read is nearly old enough to read. */
  bool isDueSoon(TimePoint Now) const;

  /** Returns true when it should ask peers how old the last read is. */
  bool shouldQueryPeers(TimePoint Now) const;

  /** Peers were asked. */
  void onPeersQueried(TimePoint Now) { this->LastQuery = Now; }

  /** Returns what shouldRead() decided last. */
  bool isReading() const { return this->LastDecision; }

  /** Returns what this node's digest says. */
  PlatformReadStatus readStatus(TimePoint Now) const;

  /** Returns the age of the newest good read known, if any. */
  std::optional<Duration> lastSuccessAge(TimePoint Now) const;

  /** Returns when the platform was back after an outage, if it was away. */
  std::optional<TimePoint> recoveredAt() const { return this->RecoveredAt; }

  /** Returns whether the last good read is so old that it must be away. */
  bool isPlatformDown(TimePoint Now) const;

  /** Forgets the age of the last read; it says nothing after a pause. */
  void clearLastSuccess() { this->LastSuccess.reset(); }

private:
  /** The last good read of one node. */
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
  int64_t awaitedCount() const;
  Duration takeoverDelay() const;
  Duration fleetReadPeriod() const;
  void drawJitter();
  void recordPeerFailure(const VmName &Sender, const PlatformReadStatus &News,
                         TimePoint Now);
  void updateKnownReader(const Reader &Heard, TimePoint Now);
  void recordSuccess(TimePoint When);

  ReadScheduleOptions Options;
  VmName Self;
  const ReadOrder &Order;
  std::mt19937_64 Random;

  /** Nodes that come before this one; no more than are waited for. */
  std::vector<VmName> EarlierNodes;

  bool OrderChanged = true;
  bool OrderKnown = false;
  TimePoint NextRefresh;

  /** The newest good read known. */
  std::optional<TimePoint> LastSuccess;

  /** First good read after the last outage. */
  std::optional<TimePoint> RecoveredAt;

  /** The best-placed node that is known to read. */
  std::optional<Reader> KnownReader;

  /** When reads of other nodes failed that have not worked since. */
  std::map<VmName, TimePoint> FailedNodes;

  TimePoint LastAttempt;
  TimePoint WaitStart;
  TimePoint LastQuery;
  TimePoint NotBefore;
  int Failures = 0;

  /** This node reads until a better-placed one does. */
  bool IsActingReader = false;

  /** What shouldRead() decided last. */
  bool LastDecision = false;

  /** Drawn anew after each failure, from 0 to 1. */
  double Jitter = 0;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_SPREAD_READSCHEDULE_H
