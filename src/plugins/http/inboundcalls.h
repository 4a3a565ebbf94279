#ifndef BLUEBELLBARROW_HTTP_INBOUNDCALLS_H
#define BLUEBELLBARROW_HTTP_INBOUNDCALLS_H

#include "callprotocol.h"
#include "kernel/httpclient.h"
#include "kernel/nodesettings.h"
#include "plugins/admission/admission.h"
#include "plugins/admission/idempotencycache.h"
#include "plugins/peer/peermessages.h"
#include "targethttpcodec.h"
#include "tree/snapshot.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace bluebellbarrow {

class Metrics;
class Task;

/** Where the news of a request go. */
struct InboundCallEvents {
  /** The request has ended; called once. */
  std::function<void(const ReplyMessage &)> Reply;

  /** The target takes unusually long for it. */
  std::function<void()> Overdue;
};

/**
 * Runs calls at the target beside this node, whoever they come from: admits
 * them, hands them to the target and says what truly became of each.
 *
 * Thread safety: none; owned by one task.
 */
class InboundCalls {
public:
  /**
   * \a OnFirst is called when the first request opens; from then on poll()
   * is needed often. \pre the references outlive the object.
   */
  InboundCalls(Task &Owner, const NodeSettings &Settings,
               const CallProtocol &Dialect, Metrics &Counters,
               std::function<void()> OnFirst);

  /** Takes the policy, and which target the platform lists on this VM. */
  void setSnapshot(std::shared_ptr<const Snapshot> New);

  /** Takes the target's place and service of new settings. */
  void setSettings(const NodeSettings &New);

  /** Sets what the node says of its target. */
  void setState(MemberState State);

  MemberState state() const { return this->State; }

  /** Returns the target that the platform lists on this VM; empty for none. */
  const TargetInstanceId &listedTarget() const { return this->ListedTarget; }

  /** Takes nothing that is expected to run beyond \a At. */
  void setCompletionCutoff(TimePoint At) {
    this->AdmissionControl.setCompletionCutoff(At);
  }

  /** Starts nothing before \a Until. */
  void holdUntil(TimePoint Until) { this->AdmissionControl.holdUntil(Until); }

  /** Takes a request; \a To may be called within the call. */
  void handleRequest(const RequestKey &Key, const RequestMessage &Message,
                     InboundCallEvents To);

  /** Cancels a request; a running one now answers to \a To. */
  CancelState cancel(const RequestKey &Key, bool Stop, InboundCallEvents To);

  /** Time has passed; to be called every few milliseconds. */
  void poll(TimePoint Now);

  LoadReport load() const;

  /** Returns the requests that have not ended. */
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
    bool Running = false;
  };

  bool handleIdempotencyKey(const RequestKey &Key,
                            const RequestMessage &Message,
                            const InboundCallEvents &To, std::string &KeyName);
  const char *rejectionReason(const RequestMessage &Message) const;
  bool exceedsBufferLimit(const RequestMessage &Message) const;
  void createTargetClient(size_t Slots);
  void startAtTarget(const RequestKey &Key);
  void onTargetDone(const RequestKey &Key, const CallResult &Result);
  void finishCall(const RequestKey &Key, ReplyMessage Message);

  /** Removes a call. \pre \a Key is open. */
  Call removeCall(const RequestKey &Key);
  void refuse(const RequestKey &Key, const std::string &Reason,
              Duration RetryAfter = Duration::zero());
  const TargetInstanceId &expectedTarget(const RequestMessage &Message) const;
  void processQueue(TimePoint Now);
  void logCompletion(const RequestKey &Key, const Call &Of,
                     const ReplyMessage &Message) const;

  Task &Owner;
  VmName Self;
  ServiceName Service;
  Endpoint TargetEndpoint;
  const CallProtocol &Protocol;
  TargetHttpCodec Codec;
  Metrics &NodeMetrics;
  std::function<void()> OnFirstRequest;
  Admission AdmissionControl;
  IdempotencyCache IdempotencyKeys;
  std::unique_ptr<HttpClient> TargetClient;
  std::shared_ptr<const Snapshot> CurrentSnapshot;
  TargetInstanceId ListedTarget;

  /** When that target started, in milliseconds of Unix time. */
  int64_t ListedTargetStartUnixMillis = 0;

  std::map<RequestKey, Call> Calls;

  /** Bytes of the bodies of Calls. */
  size_t BufferedBytes = 0;

  /** Requests that joined the run of another under the same key. */
  std::map<RequestKey, InboundCallEvents> JoinedRequests;

  MemberState State = MemberState::Starting;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_HTTP_INBOUNDCALLS_H
