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

/** What a CallWorld consists of and which policies it uses. */
struct CallSimulationOptions {
  /** Services; each calls the next one. */
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

  /** False: requests queue at the target without a limit. */
  bool AdmissionEnabled = true;

  /** True: repeats whatever failed, twice, without a budget. */
  bool NaiveRetries = false;

  /** True: a failed call below is marked so that nobody above repeats it. */
  bool SendNoRetry = true;

  uint64_t Seed = 1;
};

/** The end of a call, as the caller sees it. */
struct SimulatedCallResult {
  Outcome Result = Outcome::Unknown;
  bool Succeeded = false;
  Duration Latency{};
  std::string Id;
};

/**
 * Targets, their nodes and the links between, in virtual time, around the
 * decision objects that carry calls. Faults are switched on by the test.
 */
class CallSimulation {
public:
  explicit CallSimulation(CallSimulationOptions Options);
  ~CallSimulation();

  /** Makes a call to the first service at \a When. */
  void call(TimePoint When, const std::string &Id,
            std::function<void(const SimulatedCallResult &)> OnEnd);

  /** Runs \a Work at \a When. */
  void schedule(TimePoint When, std::function<void()> Work);

  /** Lets time pass until nothing is left to do. */
  void run();

  TimePoint now() const { return this->Now; }

  /** The upstream of \a Service with \a Index and its node die and restart. */
  void restart(size_t Service, size_t Index);

  /** The node stops reading for a while. */
  void freeze(size_t Service, size_t Index, Duration Length);

  /** Every stream to the node breaks. */
  void breakStreams(size_t Service, size_t Index);

  void setDraining(size_t Service, size_t Index, bool On);

  /** Answers of this target take \a Factor times as long. */
  void setSlowdown(size_t Service, size_t Index, double Factor);

  /** This target answers a share of requests with an error at once. */
  void setErrorRate(size_t Service, size_t Index, double Share);

  /** Returns how often each request ran at the targets of the first service. */
  const std::map<std::string, int> &runCounts() const {
    return this->RunCounts;
  }

  /** Returns the requests that reached a target of \a Service. */
  uint64_t targetCalls(size_t Service) const {
    return this->TargetCalls[Service];
  }

  /** Returns the requests that reached one target. */
  uint64_t targetCalls(size_t Service, size_t Index) const;

private:
  struct PendingCall;
  struct Upstream;
  using PendingCallPtr = std::shared_ptr<PendingCall>;

  void startCall(size_t Service, const std::string &Id, TimePoint Deadline,
                 std::function<void(Outcome, bool, bool)> OnEnd);
  void startNaiveCall(size_t Service, const std::string &Id, TimePoint Deadline,
                      int Attempt,
                      const std::function<void(Outcome, bool, bool)> &OnEnd);
  void executeActions(const PendingCallPtr &Call,
                      const OutboundCallActions &Actions);
  void executeAction(const PendingCallPtr &Call, const StartAttempt &Action);
  void executeAction(const PendingCallPtr &Call, const CancelAttempt &Action);
  void scheduleTimer(const PendingCallPtr &Call);
  void deliver(Upstream &At, uint64_t Life, const RequestKey &Key,
               const PendingCallPtr &Call, int Attempt);
  void pollQueue(Upstream &At);
  void startRun(Upstream &At, const RequestKey &Key);
  void finishRun(Upstream &At, uint64_t Life, const RequestKey &Key, bool Good,
                 bool NoRetry);
  void reply(Upstream &At, uint64_t Life, const RequestKey &Key, Outcome Result,
             bool Good, bool NoRetry);
  void runTarget(Upstream &At, const std::string &Id, TimePoint Deadline,
                 const std::function<void(bool, bool)> &OnDone);
  void releaseSlot(Upstream &At);
  Upstream &upstream(const VmName &Name);
  void runWhenUnfrozen(Upstream &At, std::function<void()> Work);

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
