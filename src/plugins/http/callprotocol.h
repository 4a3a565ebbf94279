#ifndef BLUEBELLBARROW_HTTP_CALLPROTOCOL_H
#define BLUEBELLBARROW_HTTP_CALLPROTOCOL_H

#include "kernel/registry.h"

#include <string>
#include <utility>

namespace bluebellbarrow {

/**
 * Names of the headers that carry a call's properties between callers, nodes
 * and targets. A property with an empty name is not sent and not read.
 */
struct CallHeaderNames {
  /** Id of the request. */
  std::string RequestId;

  /**
   * True if targets repeat the RequestId header in each response; a response
   * with another value is dropped.
   */
  bool EchoesRequestId = false;

  /** Milliseconds until the caller's deadline. */
  std::string DeadlineRemaining;

  /** Service of the VM on which the call was made; set by the node. */
  std::string CallerService;

  /** Target that is to run the request; others refuse it with status 421. */
  std::string ExpectedTarget;

  /** Target that sends the response. */
  std::string TargetId;

  /** In a target's response: the target did not run the request. */
  std::string NotRun;

  /** Value of the NotRun header that has this meaning; empty for any value. */
  std::string NotRunValue;

  /** In a target's response: its load, as running, queued and slots. */
  std::string Load;

  /**
   * In a target's response to a probe: how long it stays cold, as a number with
   * the unit ms or s.
   */
  std::string RemainingWarmUp;

  /**
   * In a target's response: its signature. A successful response without it
   * does not come from the target.
   */
  std::string Signature;

  /** Length of the chain of calls up to this one; each node adds 1. */
  std::string Depth;

  /** Route that matched the request; set by the node for the target. */
  std::string Route;

  /** Idempotency key: requests with the same key run once. */
  std::string IdempotencyKey;

  /** Outcome of the call, in the node's own responses. */
  std::string Outcome;

  /** Why the call failed, in the node's own responses. */
  std::string Reason;

  /** In a response: nodes that receive it must not retry the call. */
  std::string NoRetry;
};

/**
 * The headers of one platform protocol between callers, nodes and targets.
 *
 * Thread safety: immutable, safe.
 */
class CallProtocol {
public:
  explicit CallProtocol(CallHeaderNames Names)
      : HeaderNames(std::move(Names)) {}

  virtual ~CallProtocol() = default;

  const CallHeaderNames &headerNames() const { return this->HeaderNames; }

private:
  CallHeaderNames HeaderNames;
};

/** Call protocols, by the name of the platform protocol in the settings. */
using CallProtocolRegistry = Registry<CallProtocol>;

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_HTTP_CALLPROTOCOL_H
