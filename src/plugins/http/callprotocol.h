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

  /** Targets repeat RequestId in each response. */
  bool EchoesRequestId = false;

  /** Milliseconds until the caller's deadline. */
  std::string DeadlineRemaining;

  /** Service of the VM on which the call was made; set by the node. */
  std::string CallerService;

  /** Target that is to run the request; any other one refuses it. */
  std::string ExpectedTarget;

  /** Target that sends the response. */
  std::string TargetId;

  /** Says in a target's response that it did not run the request. */
  std::string NotRun;

  /** Value of NotRun with that meaning; empty for any value. */
  std::string NotRunValue;

  /** A target's load: running, queued, slots. */
  std::string Load;

  /**
   * Signature of a target. A successful response without it does not come from
   * the target.
   */
  std::string Signature;

  /** Number of calls that led to this one. */
  std::string Depth;

  /** Route that matched the request; set for the target. */
  std::string Route;

  /** Idempotency key: requests with the same key run once. */
  std::string IdempotencyKey;

  /** Outcome of the call, in the node's own responses. */
  std::string Outcome;

  /** Why the call failed, in the node's own responses. */
  std::string Reason;

  /** In a response: forbids nodes that receive it to retry the call. */
  std::string NoRetry;
};

/**
 * Headers by which callers, nodes and targets exchange a call's properties.
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
