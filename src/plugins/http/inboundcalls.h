#ifndef BLUEBELLBARROW_HTTP_INBOUNDCALLS_H
#define BLUEBELLBARROW_HTTP_INBOUNDCALLS_H

#include "callprotocol.h"
#include "kernel/httpclient.h"
#include "kernel/linkscheduler.h"
#include "kernel/nodesettings.h"
#include "plugins/admission/admission.h"
#include "plugins/admission/idempotencycache.h"
#include "plugins/peer/peermessages.h"
#include "plugins/routing/responsesizes.h"
#include "targethttpcodec.h"
#include "tree/snapshot.h"
#include "warmupprobe.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace bluebellbarrow {

class Metrics;
class Task;

/** Receives the events of one request. */
struct InboundCallEvents {
  /** Called once, with the outcome. */
  std::function<void(ReplyMessage)> Reply;

  /** Called when the target takes unusually long. */
  std::function<void()> Overdue;
};

/**
 * Runs requests of other nodes and of this one at the local target: applies
 * admission control, sends them to the target and reports the outcome of each.
 *
 * Thread safety: none; owned by one task.
 */
class InboundCalls {
public:
  /**
   * \a OnFirstRequest is called when a request arrives while none is open;
   * from then on poll() has to be called every few milliseconds.
   *
   * \pre the references outlive the object.
   */
  InboundCalls(Task &Owner, const NodeSettings &Settings,
               const CallProtocol &Protocol, LinkScheduler &Link,
               ByteBudget &Budget, Metrics &NodeMetrics,
               std::function<void()> OnFirstRequest);

  /** Applies the policy and the target that the platform lists on this VM. */
  void setSnapshot(std::shared_ptr<const Snapshot> New);

  /** Applies the target's endpoint and the service name of \a New. */
  void setSettings(const NodeSettings &New);

  /** Sets the state that load() reports; only Serving admits requests. */
  void setState(MemberState State);

  MemberState state() const { return this->State; }

  /**
   * Returns the target that the platform last listed on this VM; empty when it
   * has listed none.
   */
  const TargetInstanceId &listedTarget() const { return this->ListedTarget; }

  /** Refuses requests that are expected to complete after \a At. */
  void setCompletionCutoff(TimePoint At) {
    this->AdmissionControl.setCompletionCutoff(At);
  }

  /** Starts no request before \a Until; requests queue meanwhile. */
  void holdDownUntil(TimePoint Until) {
    this->AdmissionControl.holdDownUntil(Until);
  }

  /**
   * Handles a request; one whose \a Key was received before is ignored.
   * \a Events may be called before the function returns.
   */
  void handleRequest(const RequestKey &Key, const RequestMessage &Message,
                     InboundCallEvents Events);

  /**
   * Cancels a request that has not started. One that runs, or that joined
   * another one, reports to \a Events from then on. With \a Stop the call of a
   * running one to the target is cancelled, unless it has an idempotency key.
   */
  CancelState cancel(const RequestKey &Key, bool Stop,
                     InboundCallEvents Events);

  /**
   * Processes the queue and detects overdue requests; to be called every few
   * milliseconds while requests are open.
   */
  void poll(TimePoint Now);

  /** Sends a probe if the target may be cold; to be called on every tick. */
  void pollWarmth(TimePoint Now);

  LoadReport load() const;

  /** Returns the bytes of requests, and of responses that are incomplete. */
  size_t heldBytes() const;

  /**
   * Returns the number of open requests, without those that joined another one
   * with the same idempotency key.
   */
  size_t openRequests() const { return this->Calls.size(); }

private:
  struct Call {
    RequestMessage Message;
    TimePoint Deadline;
    InboundCallEvents Events;
    std::string IdempotencyEntryName;
    TimePoint ArrivedAt;
    TimePoint StartedAt;
    size_t Slot = 0;

    /** Bytes of the response that are reserved at the link. */
    size_t ReservedBytes = 0;

    bool Running = false;
  };

  /**
   * Looks up the request's idempotency key; keys of idempotent requests are
   * ignored. Returns true when the request does not run: it joined another one
   * or was replied to. Otherwise sets \a EntryName when the request has a key.
   */
  bool handleIdempotencyKey(const RequestKey &Key,
                            const RequestMessage &Message,
                            const InboundCallEvents &Events,
                            std::string &EntryName);

  /**
   * Returns the time after which the link can carry the response in time;
   * nothing if it can now, and for requests of this VM, which the origin
   * checks.
   */
  std::optional<Duration> linkRetryAfter(const RequestKey &Key,
                                         const Call &Arrived) const;

  /**
   * Returns why the request is refused before admission control; null when it
   * is not.
   */
  const char *rejectionReason(const RequestKey &Key,
                              const RequestMessage &Message) const;

  /**
   * Returns true if there is no room for the request or for its response. For a
   * request of this VM, the origin has decided that.
   */
  bool exceedsBudget(const RequestKey &Key,
                     const RequestMessage &Message) const;

  /** Returns the limits of the target, which may be unlisted. */
  AdmissionLimits admissionLimits(const Policy &RoutePolicy,
                                  const Vm *LocalVm) const;

  void setEvacuated(bool On);
  /** Reserves the expected bytes of a long response at the link. */
  void reserveLink(Call &Arrived);

  void createTargetClient(size_t SlotCount);
  void startAtTarget(const RequestKey &Key);
  void onTargetDone(const RequestKey &Key, CallResult Result);
  void finishCall(const RequestKey &Key, ReplyMessage Message);

  /** Removes a call and returns it. \pre \a Key is in Calls. */
  Call removeCall(const RequestKey &Key);
  void refuse(const RequestKey &Key, const std::string &Reason,
              Duration RetryAfter = Duration::zero());
  const TargetInstanceId &expectedTarget(const RequestMessage &Message) const;
  void processQueue(TimePoint Now);
  void logCompletion(const RequestKey &Key, const Call &Completed,
                     const ReplyMessage &Message) const;

  Task &Owner;
  VmName Self;
  FailureDomain Domain;
  ServiceName Service;
  Endpoint TargetEndpoint;
  std::string HealthPath;
  const CallProtocol &Protocol;
  TargetHttpCodec Codec;
  LinkScheduler &Link;
  ByteBudget &Budget;
  Metrics &NodeMetrics;
  std::function<void()> OnFirstRequest;
  Admission AdmissionControl;
  WarmUpProbe Warmth;
  IdempotencyCache IdempotencyKeys;
  std::unique_ptr<HttpClient> TargetClient;
  std::shared_ptr<const Snapshot> CurrentSnapshot;
  TargetInstanceId ListedTarget;

  /** Start time of ListedTarget, in milliseconds of Unix time. */
  int64_t ListedTargetStartUnixMillis = 0;

  std::map<RequestKey, Call> Calls;
  ResponseSizes Sizes;

  /** Sum of the body sizes of Calls. */
  size_t BufferedBytes = 0;

  /** Requests that wait for the reply to one with the same idempotency key. */
  std::map<RequestKey, InboundCallEvents> JoinedRequests;

  MemberState State = MemberState::Starting;

  /** The operators have evacuated the failure domain of this VM. */
  bool Evacuated = false;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_HTTP_INBOUNDCALLS_H
