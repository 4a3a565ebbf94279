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

/**
 * Makes a call of a kind on behalf of a target and reports whether it
 * succeeded.
 */
using NestedCallFunction = std::function<void(
    const KindModel &, TimePoint Deadline, std::function<void(bool)>)>;

/**
 * A target: runs requests in a fixed number of slots at its own speed, slower
 * while it is cold, and makes nested calls. Requests beyond its slots queue in
 * order of arrival. Thread safety: none.
 */
class SimTarget {
public:
  /** \pre the references outlive the target. */
  SimTarget(EventQueue &Events, const ServiceModel &Model, double Speed,
            uint64_t Seed, NestedCallFunction MakeNestedCall);

  /** Identifies one run of a target. */
  using RunId = uint64_t;

  /**
   * Runs a request with calls of \a CalledKind, which may be null.
   * \a OnFinished receives whether it succeeded.
   */
  RunId run(const KindModel &Kind, const KindModel *CalledKind,
            TimePoint Deadline, std::function<void(bool)> OnFinished);

  /** Cancels a run without calling its OnFinished. */
  void cancel(RunId Run);

  /** Drops all runs without calling their OnFinished; cold afterwards. */
  void restart();

  /** Makes requests that start from now on take \a Factor times as long. */
  void setSlowdown(double Factor) { this->Slowdown = Factor; }

  /** Makes this share of requests that start from now on fail after 1 ms. */
  void setErrorRate(double Share) { this->ErrorRate = Share; }

private:
  struct Run {
    const KindModel *Kind = nullptr;
    const KindModel *CalledKind = nullptr;
    TimePoint Deadline;
    std::function<void(bool)> OnFinished;

    /** Unfinished parts: the run's service time and its nested calls. */
    int OpenParts = 0;

    bool Succeeded = true;
    bool Started = false;
  };

  Duration drawServiceTime(const KindModel &Kind);
  void start(RunId Id);
  void finishPart(RunId Id, bool Succeeded);
  void finish(RunId Id, bool Succeeded);
  void startNextQueued();

  EventQueue &Events;
  const ServiceModel &Model;
  double Speed;
  std::mt19937_64 Random;
  NestedCallFunction MakeNestedCall;
  std::map<RunId, Run> Runs;
  std::deque<RunId> Queue;
  size_t BusySlots = 0;
  RunId LastRunId = 0;
  TimePoint ColdUntil;
  double Slowdown = 1;
  double ErrorRate = 0;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_LOADSIM_SIMTARGET_H
