#ifndef BLUEBELLBARROW_SPREAD_READSCHEDULE_H
#define BLUEBELLBARROW_SPREAD_READSCHEDULE_H

#include "kernel/clock.h"
#include "spreadmessages.h"

#include <map>
#include <optional>
#include <random>

namespace bluebellbarrow {

/** Tuning of a ReadSchedule. */
struct ReadScheduleOptions {
  /** Nodes of the fleet that read all the time. */
  int64_t Readers = 2;

  /** Age of the last good read at which another node reads. */
  Duration Base = milliseconds(1500);

  /** Time by which a node waits longer for each better-placed one it hears. */
  Duration Step = milliseconds(300);

  /** Requests per second that the whole fleet may make at most. */
  double FleetRequestsPerSecond = 100;
};

/**
 * Decides when this node reads the platform, so that few nodes of the fleet
 * do, without an election. The nodes have places in one order, in which the
 * failure domains take turns; the first ones read all the time. Each node
 * hears how old the last good read is, and reads itself when that is too old
 * and no better-placed node that it can hear has done so. A node that hears
 * nobody reads without further delay. A reader whose read fails says so, and
 * the next one need not wait for the age.
 *
 * Thread safety: none; owned by one task.
 */
class ReadSchedule {
public:
  ReadSchedule(ReadScheduleOptions Options, uint64_t Seed, TimePoint Now);

  void setOptions(const ReadScheduleOptions &New) { this->Options = New; }

  /** Tells the node's place in the order, from 0, and the fleet's size. */
  void setPlace(size_t Place, size_t FleetSize);

  size_t place() const { return this->Place; }

  /**
   * Takes in what a digest says of reads. Returns true when the last good
   * read is clearly newer than was known.
   */
  bool onHeard(const ReadNews &News, TimePoint Now);

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

  /** Returns true when it should ask peers how old the last read is. */
  bool shouldAsk(TimePoint Now) const;

  /** Peers were asked. */
  void onAsked(TimePoint Now) { this->LastAsk = Now; }

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
  bool standsAside(TimePoint Now) const;
  bool isReader() const;
  bool hasFailed(size_t Place) const;
  bool readerHasFailed() const;
  int64_t betterPlacedHeard(TimePoint Now) const;
  Duration limit(TimePoint Now) const;
  Duration fleetShare() const;
  void drawJitter();

  ReadScheduleOptions Options;
  std::mt19937_64 Random;
  size_t Place;
  size_t FleetSize = 1;

  /** The last good read of one node. */
  struct Reader {
    size_t Place = 0;
    TimePoint Good;
  };

  void takeReader(const Reader &Heard, TimePoint Now);
  void takeGood(TimePoint When);

  /** The newest good read known. */
  std::optional<TimePoint> Good;

  /** First good read after the last outage. */
  std::optional<TimePoint> Returned;

  /** The best-placed node that is known to read. */
  std::optional<Reader> Best;

  /** When nodes were heard last, by place. */
  std::map<size_t, TimePoint> Heard;

  /** When reads of other nodes failed that have not worked since. */
  std::map<size_t, TimePoint> Failed;

  TimePoint OwnTry;
  TimePoint Started;
  TimePoint LastAsk;
  TimePoint NotBefore;
  int Failures = 0;

  /** This node reads until a better-placed one does. */
  bool Reading = false;

  /** Drawn anew after each failure, from 0 to 1. */
  double Jitter = 0;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_SPREAD_READSCHEDULE_H
