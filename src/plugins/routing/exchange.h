#ifndef BLUEBELLBARROW_ROUTING_EXCHANGE_H
#define BLUEBELLBARROW_ROUTING_EXCHANGE_H

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
  bool Stop = false;
};

/** Hands the target's answer to the caller. */
struct ForwardAnswer {
  int Attempt = 0;
};

/** Answers the caller with an error of this node's own. */
struct FailCall {
  /** NotRun or Unknown. */
  Outcome Result = Outcome::Unknown;

  std::string Reason;

  /** True when the deadline was the cause. */
  bool Late = false;

  /** Time after which the caller may find room; for NotRun. */
  Duration RetryAfter{};
};

using ExchangeAction =
    std::variant<StartAttempt, CancelAttempt, ForwardAnswer, FailCall>;

using ExchangeActions = std::vector<ExchangeAction>;

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
struct ExchangeOptions {
  /** Keeps Service and Rules alive. */
  std::shared_ptr<const Snapshot> Map;

  const ServiceEntry *Service = nullptr;
  const Policy *Rules = nullptr;
  RouteName Route;

  /** Time until which an answer is of full use. */
  TimePoint Aim;

  TimePoint Deadline;

  /** Bytes of the request's body. */
  size_t Bytes = 0;

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
class Exchange {
public:
  /** \pre \a Routes and \a Budget outlive the exchange. */
  Exchange(ExchangeOptions Options, Router &Routes, RetryBudget &Budget);

  ExchangeActions start(TimePoint Now);

  /** The upstream's node ended the attempt. */
  ExchangeActions onReply(int Attempt, const AttemptReply &Reply,
                          TimePoint Now);

  /** Nothing of the attempt was handed to the system. */
  ExchangeActions onNotSent(int Attempt, TimePoint Now);

  /** The connection broke after the attempt may have been sent. */
  ExchangeActions onLost(int Attempt, TimePoint Now);

  /** A CancelAttempt was answered. */
  ExchangeActions onCancelReply(int Attempt, CancelState State, TimePoint Now);

  /** The target takes much longer than usual for the attempt. */
  ExchangeActions onOverdue(int Attempt, TimePoint Now);

  /** Time has passed; to be called at nextDeadline(). */
  ExchangeActions onTime(TimePoint Now);

  /** The caller has gone. */
  ExchangeActions onAborted(TimePoint Now);

  /** This node ends; its attempts go on without it. */
  ExchangeActions onStopped(const std::string &Reason);

  /** Returns when onTime() is due. */
  TimePoint nextDeadline() const { return this->NextDeadline; }

  bool done() const { return this->Done; }

  /** Returns the attempts made so far. */
  int attempts() const { return this->LastAttempt; }

private:
  /** An attempt that has not ended. */
  struct Open {
    int Attempt = 0;
    Vm Upstream;

    /** Its connection broke; until then its end is asked for. */
    std::optional<TimePoint> ResolveUntil;
  };

  Open *find(int Attempt);
  ExchangeActions tryNext(TimePoint Now);
  ExchangeActions placeElsewhere(const AttemptReply &Reply, TimePoint Now);
  ExchangeActions retryOrFail(Outcome Result, const std::string &Reason,
                              bool NoRetry, TimePoint Now);
  ExchangeActions fail(Outcome Result, const std::string &Reason, bool Late);
  ExchangeActions stopAll(TimePoint Now, AttemptEnd End);
  bool mayTryAgain(TimePoint Now) const;
  void endAttempt(int Attempt, AttemptEnd How, TimePoint Now);
  void updateDeadline();

  ExchangeOptions Options;
  Router &Routes;
  RetryBudget &Budget;
  std::vector<Open> Active;
  std::vector<UpstreamId> Tried;
  int LastAttempt = 0;

  /** Attempts that reached a target, or may have. */
  int64_t Arrivals = 0;

  /** Attempts that upstreams' nodes refused. */
  int Refusals = 0;

  /** Shortest time after which a refusing upstream may have room. */
  std::optional<Duration> RetryAfter;

  /** True once an attempt may have run, so "not run" can't be said. */
  bool MayHaveRun = false;

  bool Done = false;
  TimePoint NextDeadline;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_ROUTING_EXCHANGE_H
