#ifndef BLUEBELLBARROW_SPREAD_READSCHEDULE_H
#define BLUEBELLBARROW_SPREAD_READSCHEDULE_H

#include "kernel/clock.h"
#include "readorder.h"
#include "spreadmessages.h"

#include <map>
#include <optional>
#include <random>
#include <vector>

namespace bluebellbarrow {

/** Tuning of a ReadSchedule. */
struct ReadScheduleOptions {
  /** Nodes of the fleet that read all the time. */
  int64_t Readers = 2;

  /** Age of the last good read at which another node reads. */
  Duration Base = milliseconds(1500);

  /** Time by which a node waits longer for each better-placed one. */
  Duration Step = milliseconds(300);

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
  size_t place() const { return this->Order.placeOf(this->Self); }

  /**
   * Takes in what a digest of \a Sender says of reads. Returns true when the
   * last good read is clearly newer than was known.
   */
  bool onHeard(const VmName &Sender, const ReadNews &News, TimePoint Now);

  /** Counts the wait for the reads of others from \a Now on. */
  void restart(TimePoint Now);

  /** The platform has answered. */
  void onGoodRead(TimePoint Now);

  /**
   * A read failed; the node waits longer after each. Returns true when others
   * should hear of it at once, since they may wait for this node.
   */
  bool onFailedRead(TimePoint Now);

  /** Decides whether this node should read, or go on reading. */
  bool shouldRead(TimePoint Now);

  /** Returns true when the last good read is nearly old enough to read. */
  bool isDueSoon(TimePoint Now) const;

  /** Returns true when it should ask peers how old the last read is. */
  bool shouldAsk(TimePoint Now) const;

  /** Peers were asked. */
  void onAsked(TimePoint Now) { this->LastAsk = Now; }

  /** Returns what shouldRead() decided last. */
  bool reads() const { return this->Reads; }

  /** Returns what this node's digest says. */
  ReadNews news(TimePoint Now) const;

  /** Returns the age of the newest good read known, if any. */
  std::optional<Duration> goodAge(TimePoint Now) const;

  /** Returns when the platform was back after an outage, if it was away. */
  std::optional<TimePoint> returned() const { return this->Returned; }

  /** Returns whether the last good read is so old that it must be away. */
  bool isAway(TimePoint Now) const;

  /** Forgets the age of the last read; it says nothing after a pause. */
  void forgetAge() { this->Good.reset(); }

private:
  /** The last good read of one node. */
  struct Reader {
    VmName Name;
    TimePoint Good;
  };

  void refreshOrder(TimePoint Now);
  bool decideRead(TimePoint Now);
  bool standsAside(TimePoint Now) const;
  bool isReader() const;
  bool hasFailed(const VmName &Name) const;
  bool readerHasFailed() const;
  int64_t awaitedCount() const;
  Duration limit() const;
  Duration fleetShare() const;
  void drawJitter();
  void takeFailure(const VmName &Sender, const ReadNews &News, TimePoint Now);
  void takeReader(const Reader &Heard, TimePoint Now);
  void takeGood(TimePoint When);

  ReadScheduleOptions Options;
  VmName Self;
  const ReadOrder &Order;
  std::mt19937_64 Random;

  /** Nodes that come before this one; no more than are waited for. */
  std::vector<VmName> Better;

  bool OrderChanged = true;
  bool OrderKnown = false;
  TimePoint NextRefresh;

  /** The newest good read known. */
  std::optional<TimePoint> Good;

  /** First good read after the last outage. */
  std::optional<TimePoint> Returned;

  /** The best-placed node that is known to read. */
  std::optional<Reader> Best;

  /** When reads of other nodes failed that have not worked since. */
  std::map<VmName, TimePoint> Failed;

  TimePoint OwnTry;
  TimePoint Started;
  TimePoint LastAsk;
  TimePoint NotBefore;
  int Failures = 0;

  /** This node reads until a better-placed one does. */
  bool Reading = false;

  /** What shouldRead() decided last. */
  bool Reads = false;

  /** Drawn anew after each failure, from 0 to 1. */
  double Jitter = 0;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_SPREAD_READSCHEDULE_H
