#ifndef BLUEBELLBARROW_HTTP_UPSTREAMCALLS_H
#define BLUEBELLBARROW_HTTP_UPSTREAMCALLS_H

#include "calldialect.h"
#include "kernel/httpclient.h"
#include "kernel/nodesettings.h"
#include "plugins/admission/admission.h"
#include "plugins/admission/keymemory.h"
#include "plugins/peer/peermessages.h"
#include "targetmessages.h"
#include "tree/snapshot.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace bluebellbarrow {

class Metrics;
class Task;

/** Where the news of a request go. */
struct CallSink {
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
class UpstreamCalls {
public:
  /**
   * \a OnFirst is called when the first request opens; from then on poll()
   * is needed often. \pre the references outlive the object.
   */
  UpstreamCalls(Task &Owner, const NodeSettings &Settings,
                const CallDialect &Dialect, Metrics &Counters,
                std::function<void()> OnFirst);

  /** Takes the policy, and which target the platform lists on this VM. */
  void setSnapshot(std::shared_ptr<const Snapshot> New);

  /** Takes the target's place and service of new settings. */
  void setSettings(const NodeSettings &New);

  /** Sets what the node says of its target. */
  void setState(MemberState State);

  MemberState state() const { return this->State; }

  /** Returns the target that the platform lists on this VM; empty for none. */
  const TargetId &target() const { return this->Listed; }

  /** Takes nothing that is expected to run beyond \a At. */
  void setClosing(TimePoint At) { this->Gate.setClosing(At); }

  /** Starts nothing before \a Until. */
  void holdUntil(TimePoint Until) { this->Gate.holdUntil(Until); }

  /** Takes a request; \a To may be called within the call. */
  void request(const RequestKey &Key, const RequestMessage &Message,
               CallSink To);

  /** Cancels a request; a running one now answers to \a To. */
  CancelState cancel(const RequestKey &Key, bool Stop, CallSink To);

  /** Time has passed; to be called every few milliseconds. */
  void poll(TimePoint Now);

  LoadReport load() const;

  /** Returns the requests that have not ended. */
  size_t open() const { return this->Calls.size(); }

private:
  struct Call {
    RequestMessage Message;
    TimePoint Deadline;
    CallSink To;
    std::string KeyName;
    TimePoint Arrived;
    TimePoint Started;
    size_t Slot = 0;
    bool Running = false;
  };

  bool joinEarlierRun(const RequestKey &Key, const RequestMessage &Message,
                      const CallSink &To, std::string &KeyName);
  const char *whyNotReady(const RequestMessage &Message) const;
  bool holdsTooMuch(const RequestMessage &Message) const;
  void connectTarget(size_t Slots);
  void start(const RequestKey &Key);
  void onTargetDone(const RequestKey &Key, const CallResult &Result);
  void end(const RequestKey &Key, ReplyMessage Message);

  /** Removes a call. \pre \a Key is open. */
  Call take(const RequestKey &Key);
  void refuse(const RequestKey &Key, const std::string &Reason,
              Duration RetryAfter = Duration::zero());
  const TargetId &expectedTarget(const RequestMessage &Message) const;
  void runQueue(TimePoint Now);
  void logEnd(const RequestKey &Key, const Call &Of,
              const ReplyMessage &Message) const;

  Task &Owner;
  VmName Self;
  ServiceName Service;
  Endpoint Place;
  const CallDialect &Dialect;
  TargetMessages Messages;
  Metrics &Counters;
  std::function<void()> OnFirst;
  Admission Gate;
  KeyMemory Keys;
  std::unique_ptr<HttpClient> Target;
  std::shared_ptr<const Snapshot> Current;
  TargetId Listed;

  /** When that target started, in milliseconds of Unix time. */
  int64_t ListedBorn = 0;

  std::map<RequestKey, Call> Calls;

  /** Bytes of the bodies of Calls. */
  size_t HeldBytes = 0;

  /** Requests that joined the run of another under the same key. */
  std::map<RequestKey, CallSink> Joined;

  MemberState State = MemberState::Starting;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_HTTP_UPSTREAMCALLS_H
