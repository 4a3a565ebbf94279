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

/** Result of a call as its caller sees it. */
struct SimCallResult {
  /** Answered, NotRun or Unknown. */
  Outcome Result = Outcome::Unknown;

  /** The target served the call successfully. */
  bool Succeeded = false;

  /** Time after which the caller may retry; for NotRun. */
  Duration RetryAfter{};
};

/** A call that a caller, or a target, makes at its node. */
struct SimCall {
  const KindModel *Kind = nullptr;
  Duration Deadline{};
  std::function<void(const SimCallResult &)> OnFinished;
};

class SimNode;

/** State shared by the nodes of a mesh. */
struct SimContext {
  EventQueue &Events;
  const Experiment &Model;
  const VariantModel &Variant;
  std::shared_ptr<const Snapshot> ConfigSnapshot;
  std::map<VmName, SimNode *> Nodes;

  /** Policies of the kinds' routes. */
  std::map<const KindModel *, Policy> RoutePolicies;
};

/**
 * A node with its target. Runs the routing and admission code of the product
 * on both sides of a call, with delays in place of sockets. Thread safety:
 * none.
 */
class SimNode {
public:
  /** \pre \a Context outlives the node. */
  SimNode(SimContext &Context, const Vm &ListedVm, const ServiceModel &Service,
          double Speed, uint64_t Seed);

  const Vm &listedVm() const { return this->ListedVm; }

  SimTarget &target() { return this->Target; }

  /** Carries a call, as the node that the caller reached. */
  void call(SimCall Params);

  /** Switches the VM off for \a Downtime; then it starts with a cold target. */
  void powerCycle(Duration Downtime);

private:
  struct PendingCall;
  using PendingCallPtr = std::shared_ptr<PendingCall>;

  /** A request at the target's node. */
  struct InboundRequest {
    PendingCallPtr Call;
    int Attempt = 0;
    SimNode *Origin = nullptr;
    TimePoint Deadline;
    SimTarget::RunId Run = 0;
    TimePoint RunStart;
  };

  void start();
  void failOpenCalls();

  /** Runs \a Callback once the processor has handled a message. */
  void processMessage(std::function<void()> Callback);
  void sendTo(SimNode &Receiver, std::function<void()> Callback);
  void executeActions(const PendingCallPtr &Call,
                      const OutboundCallActions &Actions);
  void executeAction(const PendingCallPtr &Call, const StartAttempt &Action);
  void executeAction(const PendingCallPtr &Call, const CancelAttempt &Action);
  void finishCall(const PendingCallPtr &Call, const SimCallResult &CallResult);
  void scheduleTimer(const PendingCallPtr &Call);

  void onRequest(const RequestKey &Key, InboundRequest Request);
  void onCancel(const RequestKey &Key, bool StopIfRunning);
  void pollQueue();
  void startRun(const RequestKey &Key);
  void reply(const RequestKey &Key, const AttemptReply &Reply, bool Succeeded,
             Duration ServiceTime);

  /** Polls admission control now and then at a fixed interval. */
  void pollPeriodically();

  LoadReport loadReport() const;

  SimContext &Context;
  Vm ListedVm;
  SimTarget Target;
  std::unique_ptr<Router> UpstreamRouter;

  /** Routers of earlier incarnations, to which their calls still refer. */
  std::vector<std::unique_ptr<Router>> OldRouters;

  /** Calls without a result yet. */
  std::set<PendingCallPtr> OpenCalls;

  bool Down = false;
  RetryBudgets Budgets;
  std::unique_ptr<Admission> AdmissionControl;
  std::map<RequestKey, InboundRequest> InboundRequests;

  /** Time at which the processor has handled all messages so far. */
  TimePoint ProcessorFreeAt;

  uint64_t LastRequestNumber = 0;
  uint64_t Incarnation = 0;
  uint64_t Seed;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_LOADSIM_SIMNODE_H
