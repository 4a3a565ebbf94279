#ifndef BLUEBELLBARROW_LOADSIM_SIMNODE_H
#define BLUEBELLBARROW_LOADSIM_SIMNODE_H

#include "eventqueue.h"
#include "experiment.h"
#include "plugins/admission/admission.h"
#include "plugins/routing/outboundcall.h"
#include "plugins/routing/retrybudgets.h"
#include "simtarget.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace bluebellbarrow {

/** How a call ended, as its caller sees it. */
struct SimAnswer {
  /** Answered, NotRun or Unknown. */
  Outcome Result = Outcome::Unknown;

  /** The target served it. */
  bool Good = false;

  /** Time after which the caller may come back; for NotRun. */
  Duration RetryAfter{};
};

/** A call that a caller, or a target, makes at its node. */
struct SimCall {
  const KindModel *Kind = nullptr;
  Duration Deadline{};
  std::function<void(const SimAnswer &)> OnEnd;
};

class SimNode;

/** What the nodes of a mesh have in common. */
struct SimShared {
  EventQueue &Events;
  const Experiment &Model;
  const VariantModel &Variant;
  std::shared_ptr<const Snapshot> Map;
  std::map<VmName, SimNode *> Nodes;

  /** Policies of the kinds' routes. */
  std::map<const KindModel *, Policy> Rules;
};

/**
 * A node with its target: the decisions of the product on both sides of a
 * call, with delays in place of sockets. Thread safety: none.
 */
class SimNode {
public:
  /** \pre \a Shared outlives the node. */
  SimNode(SimShared &Shared, const Vm &Listed, const ServiceModel &Service,
          double Speed, uint64_t Seed);

  const Vm &listed() const { return this->Listed; }

  SimTarget &target() { return this->Target; }

  /** Carries a call, as the node that the caller reached. */
  void call(SimCall Call);

  /** The VM loses power, and comes back \a After that with a cold target. */
  void losePower(Duration After);

private:
  struct Pending;
  using PendingPtr = std::shared_ptr<Pending>;

  /** A request at the target's node. */
  struct Arrived {
    PendingPtr Call;
    int Attempt = 0;
    SimNode *Origin = nullptr;
    TimePoint Deadline;
    SimTarget::RunId Run = 0;
    TimePoint Started;
  };

  void start();
  void endCalls();

  /** Runs \a Work once the processor is free for a message. */
  void process(std::function<void()> Work);
  void sendTo(SimNode &Other, std::function<void()> Work);
  void carryOut(const PendingPtr &Call, const OutboundCallActions &Actions);
  void act(const PendingPtr &Call, const StartAttempt &Action);
  void act(const PendingPtr &Call, const CancelAttempt &Action);
  void finish(const PendingPtr &Call, const SimAnswer &Answer);
  void scheduleTime(const PendingPtr &Call);

  void arrive(const RequestKey &Key, Arrived Request);
  void onCancel(const RequestKey &Key, bool Stop);
  void pollQueue();
  void startRun(const RequestKey &Key);
  void reply(const RequestKey &Key, const AttemptReply &Reply, bool Good,
             Duration Took);
  void poll();
  LoadReport load() const;

  SimShared &Shared;
  Vm Listed;
  SimTarget Target;
  std::unique_ptr<Router> Routes;

  /** Those of earlier lives, which old calls still refer to. */
  std::vector<std::unique_ptr<Router>> OldRoutes;

  /** Calls that callers wait for. */
  std::set<PendingPtr> Open;

  bool Down = false;
  RetryBudgets Budgets;
  std::unique_ptr<Admission> Gate;
  std::map<RequestKey, Arrived> Here;
  TimePoint FreeAt;
  uint64_t LastNumber = 0;
  uint64_t Life = 0;
  uint64_t Seed;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_LOADSIM_SIMNODE_H
