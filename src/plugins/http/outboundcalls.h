#ifndef BLUEBELLBARROW_HTTP_OUTBOUNDCALLS_H
#define BLUEBELLBARROW_HTTP_OUTBOUNDCALLS_H

#include "callerhttpcodec.h"
#include "kernel/httpserver.h"
#include "kernel/linkscheduler.h"
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
 * Accepts HTTP requests of callers, drives an OutboundCall for each and sends
 * its response.
 *
 * Thread safety: none; owned by one task.
 */
class OutboundCalls {
public:
  /** \pre the references outlive the object. */
  OutboundCalls(Task &Owner, const NodeSettings &Settings,
                const CallProtocol &Protocol, const PeerIdentity &Self,
                InboundCalls &Inbound, LinkScheduler &Link, ByteBudget &Budget,
                Metrics &NodeMetrics);

  /** Returns false when the address for callers could not be bound. */
  bool isListening() const { return this->CallerServer.isListening(); }

  void setSnapshot(std::shared_ptr<const Snapshot> New);

  /** Applies the service name of \a New. */
  void setSettings(const NodeSettings &New) { this->Service = New.Service; }

  void onAnnouncement(const MemberAnnouncement &Announcement) {
    this->UpstreamRouter.onAnnouncement(Announcement);
  }

  /** Closes each connection of a caller after its next response. */
  void setCloseAfterResponse() {
    this->CallerServer.setCloseAfterResponse(true);
  }

  /** Refuses every request received from now on. */
  void setDraining() { this->Draining = true; }

  /**
   * Fails each open call. Its outcome is unknown if an attempt is open or may
   * have run, and not-run otherwise.
   */
  void failOpenCalls(const std::string &Reason);

  /**
   * Runs due timers, checks peers and publishes metrics; to be called every
   * few milliseconds.
   */
  void poll(TimePoint Now);

  /** Sets the number of connections of callers that are accepted. */
  void setMaxConnections(size_t Count) {
    this->CallerServer.setMaxConnections(Count);
  }

  /** Returns the bytes of requests, and of responses that are not read. */
  size_t heldBytes() const { return this->CallerServer.bufferedBytes(); }

  /** Returns the bytes of messages that peers send or take in part. */
  size_t heldPeerBytes() const { return this->Peers.heldBytes(); }

  /** Returns the number of requests without a response. */
  size_t openRequests() const { return this->CallerServer.openRequests(); }

  /**
   * Returns the number of connections whose callers have not received all of
   * their responses.
   */
  size_t undeliveredCount() { return this->CallerServer.undeliveredCount(); }

private:
  struct Call {
    ExchangeId HttpExchange;
    std::unique_ptr<OutboundCall> StateMachine;
    RequestMessage Message;
    TimePoint StartedAt;
    TimePoint SoftDeadline;
    TimePoint Deadline;

    /** Request numbers of the open attempts, by index. */
    std::map<int, RequestNumber> RequestNumbers;

    /** Upstream of the last attempt, or of the one that was answered. */
    Vm Upstream;

    /** Bytes of the response that are reserved at the link. */
    size_t ReservedBytes = 0;

    /** Response of the target, until it is forwarded. */
    HttpResponse Response;
  };

  using CallId = uint64_t;

  /** An open attempt. */
  struct Attempt {
    CallId ParentCall = 0;

    /** Number of the attempt within its call, from 1. */
    int Index = 0;

    Vm Upstream;
  };

  void onRequest(ExchangeId Exchange, const HttpRequest &Request,
                 TimePoint ReceivedAt);
  const RouteEntry *findRoute(const HttpRequest &Request) const;
  bool isIdempotent(const HttpRequest &Request) const;
  void onAborted(ExchangeId Exchange);
  void onStalled(const StalledConnection &Connection);
  /**
   * Returns the time after which the link can carry a response of \a Route in
   * time; nothing if it can now.
   */
  std::optional<Duration> linkRetryAfter(const RouteEntry &Route,
                                         TimePoint SoftDeadline,
                                         TimePoint Deadline,
                                         TimePoint Now) const;
  void startCall(ExchangeId Exchange, const HttpRequest &Request,
                 const RouteEntry &Route, TimePoint ReceivedAt);
  void executeActions(CallId Id, const OutboundCallActions &Actions);
  void executeAction(CallId Id, const StartAttempt &Action);
  void executeAction(CallId Id, const CancelAttempt &Action);
  void executeAction(CallId Id, const ForwardResponse &Action);
  void executeAction(CallId Id, const FailCall &Action);
  void onReply(ReplyMessage Reply);
  void onCancelReply(const CancelReplyMessage &Reply);
  void onAttemptEvent(RequestNumber Number,
                      OutboundCallActions (OutboundCall::*Event)(int,
                                                                 TimePoint));
  void removeAttempt(Call &Open, int Index);
  void refuse(ExchangeId Exchange, const HttpRequest &Request, int Status,
              const std::string &Reason,
              Duration RetryAfter = Duration::zero());
  void respond(ExchangeId Exchange, HttpResponse Response,
               const char *OutcomeName);
  void logCompletion(const Call &Completed, const char *OutcomeName, int Status,
                     const std::string &Reason) const;
  void publishMetrics(TimePoint Now);

  Task &Owner;
  ServiceName Service;
  CallerHttpCodec Codec;
  PeerIdentity Self;
  InboundCalls &Inbound;
  LinkScheduler &Link;
  ByteBudget &Budget;
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
