#ifndef BLUEBELLBARROW_ROUTING_OUTBOUNDCALL_H
#define BLUEBELLBARROW_ROUTING_OUTBOUNDCALL_H

#include "retrybudget.h"
#include "router.h"

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bluebellbarrow {

/** Sends the request to an upstream as attempt number \a Attempt, from 1. */
struct StartAttempt {
  int Attempt = 0;
  Vm Upstream;
};

/** Asks the upstream not to run the attempt, or what became of it. */
struct CancelAttempt {
  int Attempt = 0;
  Vm Upstream;

  /** True when a running request shall be stopped. */
  bool StopIfRunning = false;
};

/** Hands the target's answer to the caller. */
struct ForwardResponse {
  int Attempt = 0;
};

/** Answers the caller with an error of this node's own. */
struct FailCall {
  /** NotRun or Unknown. */
  Outcome Result = Outcome::Unknown;

  std::string Reason;

  /** True when the deadline was the cause. */
  bool DeadlineExceeded = false;

  /** Time after which the caller may find room; for NotRun. */
  Duration RetryAfter{};
};

using OutboundCallAction =
    std::variant<StartAttempt, CancelAttempt, ForwardResponse, FailCall>;

using OutboundCallActions = std::vector<OutboundCallAction>;

/** How the upstream's node ended an attempt. */
struct AttemptReply {
  Outcome Result = Outcome::Unknown;

  /** Status of the answer, when Result is Answered. */
  int Status = 0;

  std::string Reason;

  /** Forbids another attempt. */
  bool NoRetry = false;

  /** The attempt was handed to the target. */
  bool ReachedTarget = false;

  /** Time after which the upstream may have room. */
  Duration RetryAfter{};
};

/** What an exchange needs to know of its call. */
struct OutboundCallOptions {
  /** Keeps Service and Rules alive. */
  std::shared_ptr<const Snapshot> ConfigSnapshot;

  const ServiceEntry *Service = nullptr;
  const Policy *RoutePolicy = nullptr;
  RouteName Route;

  /** Time until which an answer is of full use. */
  TimePoint SoftDeadline;

  TimePoint Deadline;

  /** Bytes of the request's body. */
  size_t BodyBytes = 0;

  /** Key of the caller; the request goes only to the key's owner. */
  std::string IdempotencyKey;
};

/**
 * The life of one call at the node that the caller reached: which upstream to
 * try, when to try another, and what may truthfully be said in the end.
 *
 * An attempt that an upstream's node refuses has cost the target nothing and
 * is placed elsewhere. One that reached a target is repeated only when it is
 * known not to have run, or when the route is idempotent; within the route's
 * retries, the retry budget and the deadline. An idempotent attempt that is
 * overdue goes on while a second one is made; the first answer counts.
 * A decision object. Thread safety: none; owned by one task.
 */
class OutboundCall {
public:
  /** \pre \a Routes and \a Budget outlive the exchange. */
  OutboundCall(OutboundCallOptions Options, Router &Routes,
               RetryBudget &Budget);

  OutboundCallActions start(TimePoint Now);

  /** The upstream's node ended the attempt. */
  OutboundCallActions onReply(int Attempt, const AttemptReply &Reply,
                              TimePoint Now);

  /** Nothing of the attempt was handed to the system. */
  OutboundCallActions onNotSent(int Attempt, TimePoint Now);

  /** The connection broke after the attempt may have been sent. */
  OutboundCallActions onConnectionLost(int Attempt, TimePoint Now);

  /** A CancelAttempt was answered. */
  OutboundCallActions onCancelReply(int Attempt, CancelState State,
                                    TimePoint Now);

  /** The target takes much longer than usual for the attempt. */
  OutboundCallActions onOverdue(int Attempt, TimePoint Now);

  /** Time has passed; to be called at nextDeadline(). */
  OutboundCallActions onTimer(TimePoint Now);

  /** The caller has gone. */
  OutboundCallActions onCallerAborted(TimePoint Now);

  /** This node ends; its attempts go on without it. */
  OutboundCallActions onShutdown(const std::string &Reason);

  /** Returns when onTime() is due. */
  TimePoint nextTimer() const { return this->NextTimer; }

  bool done() const { return this->Done; }

  /** Returns the attempts made so far. */
  int attempts() const { return this->LastAttempt; }

private:
  /** An attempt that has not ended. */
  struct OpenAttempt {
    int Attempt = 0;
    Vm Upstream;

    /** Its connection broke; until then its end is asked for. */
    std::optional<TimePoint> ResolveUntil;
  };

  OpenAttempt *find(int Attempt);
  OutboundCallActions startNextAttempt(TimePoint Now);
  OutboundCallActions tryAnotherUpstream(const AttemptReply &Reply,
                                         TimePoint Now);
  OutboundCallActions retryOrFail(Outcome Result, const std::string &Reason,
                                  bool NoRetry, TimePoint Now);
  OutboundCallActions fail(Outcome Result, const std::string &Reason,
                           bool Late);
  OutboundCallActions cancelAll(TimePoint Now, AttemptResult End);
  bool mayRetry(TimePoint Now) const;
  void endAttempt(int Attempt, AttemptResult How, TimePoint Now);
  void updateTimer();

  OutboundCallOptions Options;
  Router &UpstreamRouter;
  RetryBudget &Budget;
  std::vector<OpenAttempt> OpenAttempts;
  std::vector<UpstreamId> Tried;
  int LastAttempt = 0;

  /** Attempts that reached a target, or may have. */
  int64_t AttemptsAtTarget = 0;

  /** Attempts that upstreams' nodes refused. */
  int Refusals = 0;

  /** Shortest time after which a refusing upstream may have room. */
  std::optional<Duration> RetryAfter;

  /** True once an attempt may have run, so "not run" can't be said. */
  bool MayHaveRun = false;

  bool Done = false;
  TimePoint NextTimer;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_ROUTING_OUTBOUNDCALL_H
