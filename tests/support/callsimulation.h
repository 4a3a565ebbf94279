#ifndef BLUEBELLBARROW_TESTS_CALLSIMULATION_H
#define BLUEBELLBARROW_TESTS_CALLSIMULATION_H

#include "plugins/admission/admission.h"
#include "plugins/routing/outboundcall.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace bluebellbarrow {

/** Size, policies and seed of a CallSimulation. */
struct CallSimulationOptions {
  /** Number of services; each one calls the next. */
  size_t ChainLength = 1;

  size_t UpstreamsPerService = 4;
  size_t Slots = 10;
  size_t QueueLimit = 10;
  Duration ServiceTime = milliseconds(10);
  Duration Deadline = milliseconds(500);
  Duration LinkDelay = milliseconds(1);
  int64_t Retries = 2;
  double RetryBudget = 0.1;
  bool Idempotent = false;
  std::string Balance = "two-choices";

  /** False: requests queue at the target without limit. */
  bool AdmissionEnabled = true;

  /** True: each failed call is retried twice, without a retry budget. */
  bool NaiveRetries = false;

  /** True: the failure of a nested call sets NoRetry for the calls above. */
  bool SendNoRetry = true;

  uint64_t Seed = 1;
};

/** Result of a call, as seen by the caller. */
struct SimulatedCallResult {
  Outcome Result = Outcome::Unknown;
  bool Succeeded = false;
  Duration Latency{};
  std::string Id;
};

/**
 * Simulates targets, their nodes and the connections between them in virtual
 * time. OutboundCall, Router and Admission make the decisions, as in a node.
 * The test injects the faults.
 */
class CallSimulation {
public:
  explicit CallSimulation(CallSimulationOptions Options);
  ~CallSimulation();

  /** Makes a call to the first service at \a Time. */
  void call(TimePoint Time, const std::string &Id,
            std::function<void(const SimulatedCallResult &)> OnCompleted);

  /** Runs \a Callback at \a Time, or now if that has passed. */
  void schedule(TimePoint Time, std::function<void()> Callback);

  /** Advances virtual time until no event is left. */
  void run();

  TimePoint now() const { return this->Now; }

  /** Restarts a target and its node; their open requests are lost. */
  void restart(size_t Service, size_t Index);

  /** Stops the node from processing messages for \a Length. */
  void freeze(size_t Service, size_t Index, Duration Length);

  /** Closes every stream to the node. */
  void breakStreams(size_t Service, size_t Index);

  void setDraining(size_t Service, size_t Index, bool On);

  /** Multiplies the service time of a target by \a Factor. */
  void setSlowdown(size_t Service, size_t Index, double Factor);

  /** Makes a target answer \a Share of its requests with a fast error. */
  void setErrorRate(size_t Service, size_t Index, double Share);

  /** Returns how often each call ran at the targets of the first service. */
  const std::map<std::string, int> &runCounts() const {
    return this->RunCounts;
  }

  /** Returns the number of requests that ran at targets of \a Service. */
  uint64_t targetCalls(size_t Service) const {
    return this->TargetCalls[Service];
  }

  /** Returns the number of requests that ran at one target. */
  uint64_t targetCalls(size_t Service, size_t Index) const;

private:
  struct PendingCall;
  struct Upstream;
  using PendingCallPtr = std::shared_ptr<PendingCall>;

  /**
   * Starts a call. \a OnCompleted receives its outcome, whether it succeeded,
   * and whether retries are forbidden.
   */
  void startCall(size_t Service, const std::string &Id, TimePoint Deadline,
                 std::function<void(Outcome, bool, bool)> OnCompleted);
  void
  startNaiveCall(size_t Service, const std::string &Id, TimePoint Deadline,
                 int Attempt,
                 const std::function<void(Outcome, bool, bool)> &OnCompleted);
  void executeActions(const PendingCallPtr &Call,
                      const OutboundCallActions &Actions);
  void executeAction(const PendingCallPtr &Call, const StartAttempt &Action);
  void executeAction(const PendingCallPtr &Call, const CancelAttempt &Action);
  void scheduleTimer(const PendingCallPtr &Call);
  void deliver(Upstream &Target, uint64_t Incarnation, const RequestKey &Key,
               const PendingCallPtr &Call, int Attempt);
  void pollQueue(Upstream &Target);
  void startRun(Upstream &Target, const RequestKey &Key);
  void finishRun(Upstream &Target, uint64_t Incarnation, const RequestKey &Key,
                 bool Succeeded, bool NoRetry);
  void reply(Upstream &Target, uint64_t Incarnation, const RequestKey &Key,
             Outcome Result, bool Succeeded, bool NoRetry);
  void runTarget(Upstream &Target, const std::string &Id, TimePoint Deadline,
                 const std::function<void(bool, bool)> &OnDone);
  void releaseSlot(Upstream &Target);
  Upstream &upstream(const VmName &Name);

  /** Runs \a Callback now, or when the node is no longer frozen. */
  void runWhenUnfrozen(Upstream &Target, std::function<void()> Callback);

  CallSimulationOptions Options;
  std::mt19937_64 Random;
  std::shared_ptr<Snapshot> ConfigSnapshot;
  std::unique_ptr<Router> UpstreamRouter;
  std::vector<std::unique_ptr<RetryBudget>> Budgets;
  std::map<VmName, std::unique_ptr<Upstream>> Upstreams;
  std::multimap<TimePoint, std::function<void()>> Events;
  TimePoint Now = TimePoint(seconds(1000));
  uint64_t LastRequestNumber = 0;
  std::map<std::string, int> RunCounts;
  std::vector<uint64_t> TargetCalls;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_TESTS_CALLSIMULATION_H
