#ifndef BLUEBELLBARROW_LOADSIM_SIMTARGET_H
#define BLUEBELLBARROW_LOADSIM_SIMTARGET_H

#include "eventqueue.h"
#include "experiment.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>

namespace bluebellbarrow {

/** Makes a call of a kind on behalf of a target; tells whether it was served.
 */
using NestedCall = std::function<void(const KindModel &, TimePoint Deadline,
                                      std::function<void(bool)>)>;

/**
 * A target: runs so many requests at once, at its own speed, slowly while it
 * is cold, and makes calls of its own. Those over its slots wait in order.
 * Thread safety: none.
 */
class SimTarget {
public:
  /** \pre the references outlive the target. */
  SimTarget(EventQueue &Events, const ServiceModel &Model, double Speed,
            uint64_t Seed, NestedCall Call);

  /** Identifies one run of a target. */
  using RunId = uint64_t;

  /** Runs a request; \a OnEnd tells whether it was served. */
  RunId run(const KindModel &Kind, const KindModel *Calls, TimePoint Deadline,
            std::function<void(bool)> OnEnd);

  /** Drops a run; nothing is told of it any more. */
  void cancel(RunId Run);

  /** Starts anew: what runs is lost, and it is cold for a while. */
  void restart();

  /** Work takes \a Factor times as long. */
  void setSlow(double Factor) { this->Slow = Factor; }

  /** A share of the requests fails at once. */
  void setFailing(double Share) { this->Failing = Share; }

private:
  struct Run {
    const KindModel *Kind = nullptr;
    const KindModel *Calls = nullptr;
    TimePoint Deadline;
    std::function<void(bool)> OnEnd;

    /** Own work and calls that have not ended. */
    int Open = 0;

    bool Good = true;
    bool Started = false;
  };

  Duration drawWork(const KindModel &Kind);
  void start(RunId Id);
  void endPart(RunId Id, bool Good);
  void end(RunId Id, bool Good);
  void startWaiting();

  EventQueue &Events;
  const ServiceModel &Model;
  double Speed;
  std::mt19937_64 Random;
  NestedCall Call;
  std::map<RunId, Run> Runs;
  std::deque<RunId> Waiting;
  size_t Busy = 0;
  RunId LastRun = 0;
  TimePoint ColdUntil;
  double Slow = 1;
  double Failing = 0;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_LOADSIM_SIMTARGET_H
