#ifndef BLUEBELLBARROW_LOADSIM_SIMMESH_H
#define BLUEBELLBARROW_LOADSIM_SIMMESH_H

#include "simnode.h"

#include <string>
#include <vector>

namespace bluebellbarrow {

/** Results of the callers' requests, of one kind or in one second. */
struct RequestCounts {
  uint64_t Total = 0;
  uint64_t OnTime = 0;
  uint64_t Late = 0;
  uint64_t Refused = 0;
  uint64_t Failed = 0;

  /** Utility if every request were on time, and as achieved. */
  double PossibleUtility = 0;
  double AchievedUtility = 0;

  double utilityShare() const {
    return this->PossibleUtility > 0
               ? this->AchievedUtility / this->PossibleUtility
               : 1;
  }

  double share(uint64_t Part) const {
    return this->Total > 0
               ? static_cast<double>(Part) / static_cast<double>(this->Total)
               : 0;
  }
};

/** Results of one run. */
struct SimResult {
  RequestCounts All;
  std::map<std::string, RequestCounts> Kinds;

  /** By the second of the run in which a caller made its first attempt. */
  std::vector<RequestCounts> Seconds;

  /** Returns the lowest utility share of two consecutive seconds. */
  double worstUtilityShare() const;
};

/**
 * Simulates one variant of an experiment: callers that retry, nodes and
 * targets. Thread safety: none.
 */
class SimMesh {
public:
  /** \pre the references outlive the mesh. */
  SimMesh(const Experiment &Model, const VariantModel &Variant);

  SimResult run();

private:
  /** A request of a caller, over all its attempts. */
  struct CallerRequest {
    const KindModel *Kind = nullptr;
    TimePoint Start;
    int Attempts = 0;
  };

  using CallerRequestPtr = std::shared_ptr<CallerRequest>;

  std::shared_ptr<const Snapshot> buildSnapshot() const;
  void buildNodes();
  void scheduleArrival(const KindModel &Kind);
  void scheduleEvents();
  void startEvent(const EventModel &Event);
  void attempt(const CallerRequestPtr &Request);
  void onCallFinished(const CallerRequestPtr &Request,
                      const SimCallResult &CallResult);
  bool tryScheduleRetry(const CallerRequestPtr &Request,
                        const SimCallResult &CallResult);
  void recordResult(const CallerRequest &Request,
                    const SimCallResult &CallResult);
  double currentRate(const KindModel &Kind) const;
  std::vector<SimNode *> selectAffectedNodes(const EventModel &Event);

  const Experiment &Model;
  EventQueue Events;
  SimContext Context;
  std::vector<std::unique_ptr<SimNode>> Nodes;
  std::mt19937_64 Random;
  TimePoint Start;

  /** Factors of running bursts, by kind; the empty name stands for all. */
  std::map<std::string, double> RateFactors;

  SimResult Result;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_LOADSIM_SIMMESH_H
