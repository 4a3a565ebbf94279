#ifndef BLUEBELLBARROW_SPREAD_READSCHEDULE_H
#define BLUEBELLBARROW_SPREAD_READSCHEDULE_H

#include "kernel/clock.h"
#include "spreadmessages.h"

#include <optional>
#include <random>

namespace bluebellbarrow {

/** Tuning of a ReadSchedule. */
struct ReadScheduleOptions {
  /** Nodes of a failure domain that read all the time. */
  int64_t Readers = 2;

  /** Age of the last read at which the next rank reads. */
  Duration Base = milliseconds(1500);

  /** Time by which each further rank waits longer. */
  Duration Step = milliseconds(300);

  /**
   * Time that news of a read takes to reach a node by random digests. Ranks
   * that the readers do not tell directly wait so much longer.
   */
  Duration NewsDelay = seconds(4);

  /** Requests per second that the whole fleet may make at most. */
  double FleetRequestsPerSecond = 100;
};

/**
 * Decides when this node reads the platform, so that few nodes of a failure
 * domain do, without an election. The nodes have ranks; each hears in digests
 * how long ago the last good and the last failed read were, and a rank reads
 * only when both are older than its own limit.
 *
 * Thread safety: none; owned by one task.
 */
class ReadSchedule {
public:
  /** Ranks after the readers that are told of each read directly. */
  static constexpr size_t Successors = 3;

  ReadSchedule(ReadScheduleOptions Options, uint64_t Seed, TimePoint Now);

  void setOptions(const ReadScheduleOptions &New) { this->Options = New; }

  /** Tells the node's rank in its domain, from 0, and the fleet's size. */
  void setRank(size_t Rank, size_t FleetSize);

  size_t rank() const { return this->Rank; }

  /** Takes in what a digest of the same failure domain says. */
  void onHeard(const ReadNews &News, TimePoint Now);

  /** Counts the waits for the reads of others from \a Now on. */
  void restart(TimePoint Now) { this->Heard.Try = Now; }

  /** A read ended well, or a watch is known to be open. */
  void onGoodRead(TimePoint Now);

  /** A read failed; the node waits longer after each. */
  void onFailedRead(TimePoint Now);

  /** Returns true when this node should read, or go on reading. */
  bool shouldRead(TimePoint Now) const;

  /** Returns what this node's digest says. */
  ReadNews news(TimePoint Now) const;

  /** Returns the age of the newest good read known, if any. */
  std::optional<Duration> goodAge(TimePoint Now) const;

private:
  struct Reading {
    size_t Rank = 0xffff;
    TimePoint Good;
    TimePoint Try;
    bool HasGood = false;
  };

  Duration freshness() const;
  Duration limit() const;
  bool standsAside(TimePoint Now) const;
  void drawJitter();

  ReadScheduleOptions Options;
  std::mt19937_64 Random;
  size_t Rank = 0xffff;
  size_t FleetSize = 1;

  /** Own reads. */
  Reading Own;

  /** The best reads of others. */
  Reading Heard;

  int Failures = 0;
  TimePoint NotBefore;
  Duration Jitter{};
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_SPREAD_READSCHEDULE_H
