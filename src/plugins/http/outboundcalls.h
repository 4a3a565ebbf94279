#ifndef BLUEBELLBARROW_HTTP_OUTBOUNDCALLS_H
#define BLUEBELLBARROW_HTTP_OUTBOUNDCALLS_H

#include "callerhttpcodec.h"
#include "kernel/httpserver.h"
#include "kernel/nodesettings.h"
#include "kernel/task.h"
#include "plugins/peer/peerclient.h"
#include "plugins/routing/outboundcall.h"
#include "plugins/routing/retrybudgets.h"
#include "plugins/routing/weightedroundrobin.h"
#include "retryafterjitter.h"
#include "tree/snapshot.h"

#include <map>
#include <memory>
#include <string>

namespace bluebellbarrow {

class Metrics;
class InboundCalls;

/**
 * Takes calls from callers, carries each through an Exchange and answers it.
 *
 * Thread safety: none; owned by one task.
 */
class OutboundCalls {
public:
  /** \pre the references outlive the object. */
  OutboundCalls(Task &Owner, const NodeSettings &Settings,
                const CallProtocol &Dialect, const PeerIdentity &Self,
                InboundCalls &Local, Metrics &Counters);

  /** Returns false when the address for callers can't be listened on. */
  bool listening() const { return this->CallerServer.isListening(); }

  void setSnapshot(std::shared_ptr<const Snapshot> New);

  /** Takes the service of new settings. */
  void setSettings(const NodeSettings &New) { this->Service = New.Service; }

  void onAnnouncement(const MemberAnnouncement &Announced) {
    this->UpstreamRouter.onAnnouncement(Announced);
  }

  /** Asks callers to close their connection after each answer. */
  void setCloseAfterResponse() {
    this->CallerServer.setCloseAfterResponse(true);
  }

  /** Refuses each call that comes from now on. */
  void setDraining() { this->Draining = true; }

  /** Ends each open call with what may be said of it. */
  void failOpenCalls(const std::string &Reason);

  /** Time has passed; to be called every few milliseconds. */
  void poll(TimePoint Now);

  /** Returns the requests that are not answered yet. */
  size_t openRequests() const { return this->CallerServer.openRequests(); }

private:
  struct Call {
    ExchangeId HttpExchange;
    std::unique_ptr<OutboundCall> StateMachine;
    RequestMessage Message;
    TimePoint StartedAt;
    TimePoint SoftDeadline;
    TimePoint Deadline;

    /** Numbers of the attempts that have not ended. */
    std::map<int, RequestNumber> RequestNumbers;

    /** Where the last attempt went. */
    Vm Upstream;

    /** The answer of an attempt, until it is forwarded. */
    HttpResponse Response;
  };

  using CallId = uint64_t;

  /** An attempt that has not ended. */
  struct Attempt {
    CallId Call = 0;

    /** Number of the attempt in its exchange. */
    int AttemptNumber = 0;

    Vm Upstream;
  };

  void onRequest(ExchangeId Caller, const HttpRequest &Request);
  void onAborted(ExchangeId Caller);
  void startCall(ExchangeId Caller, const HttpRequest &Request,
                 const RouteEntry &Route);
  void executeActions(CallId Id, const OutboundCallActions &Actions);
  void executeAction(CallId Id, const StartAttempt &Action);
  void executeAction(CallId Id, const CancelAttempt &Action);
  void executeAction(CallId Id, const ForwardResponse &Action);
  void executeAction(CallId Id, const FailCall &Action);
  void onReply(const ReplyMessage &Reply);
  void onCancelReply(const CancelReplyMessage &Reply);
  void dispatchAttemptEvent(
      RequestNumber Number,
      OutboundCallActions (OutboundCall::*Event)(int, TimePoint));
  void removeAttempt(Call &Of, int Index);
  void refuse(ExchangeId Caller, const HttpRequest &Request, int Status,
              const std::string &Reason);
  void respond(ExchangeId Caller, HttpResponse Response, const char *Outcome);
  void logCompletion(const Call &Of, const char *Outcome, int Status,
                     const std::string &Reason) const;
  void publishMetrics(TimePoint Now);

  Task &Owner;
  ServiceName Service;
  CallerHttpCodec Codec;
  PeerIdentity Self;
  InboundCalls &Inbound;
  Metrics &NodeMetrics;
  std::shared_ptr<const Snapshot> CurrentSnapshot;
  Router UpstreamRouter;
  WeightedRoundRobin TrafficSplit;
  RetryAfterJitter RetryJitter;
  RetryBudgets Budgets;
  HttpServer CallerServer;
  PeerClient Peers;
  std::map<CallId, Call> Calls;
  std::map<ExchangeId, CallId> CallsByExchange;
  std::map<RequestNumber, Attempt> Attempts;
  uint64_t LastRequestNumber = 0;
  CallId LastCallId = 0;
  TimePoint NextMetricsAt;
  bool Draining = false;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_HTTP_OUTBOUNDCALLS_H
