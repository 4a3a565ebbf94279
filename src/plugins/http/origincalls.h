#ifndef BLUEBELLBARROW_HTTP_ORIGINCALLS_H
#define BLUEBELLBARROW_HTTP_ORIGINCALLS_H

#include "callermessages.h"
#include "kernel/httpserver.h"
#include "kernel/nodesettings.h"
#include "kernel/task.h"
#include "plugins/peer/peerclient.h"
#include "plugins/routing/exchange.h"
#include "plugins/routing/retrybudgets.h"
#include "plugins/routing/shareplan.h"
#include "retryafter.h"
#include "tree/snapshot.h"

#include <map>
#include <memory>
#include <string>

namespace bluebellbarrow {

class Metrics;
class UpstreamCalls;

/**
 * Takes calls from callers, carries each through an Exchange and answers it.
 *
 * Thread safety: none; owned by one task.
 */
class OriginCalls {
public:
  /** \pre the references outlive the object. */
  OriginCalls(Task &Owner, const NodeSettings &Settings,
              const CallDialect &Dialect, const PeerIdentity &Self,
              UpstreamCalls &Local, Metrics &Counters);

  /** Returns false when the address for callers can't be listened on. */
  bool listening() const { return this->Callers.listening(); }

  void setSnapshot(std::shared_ptr<const Snapshot> New);

  /** Takes the service of new settings. */
  void setSettings(const NodeSettings &New) { this->Service = New.Service; }

  void onAnnouncement(const MemberAnnouncement &Announced) {
    this->Routes.onAnnouncement(Announced);
  }

  /** Asks callers to close their connection after each answer. */
  void setLeaving() { this->Callers.setLeaving(true); }

  /** Refuses each call that comes from now on. */
  void setDraining() { this->Draining = true; }

  /** Ends each open call with what may be said of it. */
  void endAll(const std::string &Reason);

  /** Time has passed; to be called every few milliseconds. */
  void poll(TimePoint Now);

  /** Returns the requests that are not answered yet. */
  size_t open() const { return this->Callers.open(); }

private:
  struct Call {
    ExchangeId Caller;
    std::unique_ptr<Exchange> Decisions;
    RequestMessage Message;
    TimePoint Began;
    TimePoint Aim;
    TimePoint Deadline;

    /** Numbers of the attempts that have not ended. */
    std::map<int, RequestNumber> Numbers;

    /** Where the last attempt went. */
    Vm Upstream;

    /** The answer of an attempt, until it is forwarded. */
    HttpResponse Answer;
  };

  using CallId = uint64_t;

  /** An attempt that has not ended. */
  struct Attempt {
    CallId Call = 0;

    /** Number of the attempt in its exchange. */
    int Index = 0;

    Vm Upstream;
  };

  void onRequest(ExchangeId Caller, const HttpRequest &Request);
  void onAborted(ExchangeId Caller);
  void begin(ExchangeId Caller, const HttpRequest &Request,
             const RouteEntry &Route);
  void carryOut(CallId Id, const ExchangeActions &Actions);
  void act(CallId Id, const StartAttempt &Action);
  void act(CallId Id, const CancelAttempt &Action);
  void act(CallId Id, const ForwardAnswer &Action);
  void act(CallId Id, const FailCall &Action);
  void onReply(const ReplyMessage &Reply);
  void onCancelReply(const CancelReplyMessage &Reply);
  void onAttempt(RequestNumber Number,
                 ExchangeActions (Exchange::*Event)(int, TimePoint));
  void forgetAttempt(Call &Of, int Index);
  void refuse(ExchangeId Caller, const HttpRequest &Request, int Status,
              const std::string &Reason);
  void answer(ExchangeId Caller, HttpResponse Response, const char *Outcome);
  void logEnd(const Call &Of, const char *Outcome, int Status,
              const std::string &Reason) const;
  void publishMetrics(TimePoint Now);

  Task &Owner;
  ServiceName Service;
  CallerMessages Messages;
  PeerIdentity Self;
  UpstreamCalls &Local;
  Metrics &Counters;
  std::shared_ptr<const Snapshot> Current;
  Router Routes;
  SharePlan Shares;
  RetryAfter ReturnTimes;
  RetryBudgets Budgets;
  HttpServer Callers;
  PeerClient Peers;
  std::map<CallId, Call> Calls;
  std::map<ExchangeId, CallId> ByCaller;
  std::map<RequestNumber, Attempt> Attempts;
  uint64_t LastNumber = 0;
  CallId LastCall = 0;
  TimePoint NextMetrics;
  bool Draining = false;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_HTTP_ORIGINCALLS_H
