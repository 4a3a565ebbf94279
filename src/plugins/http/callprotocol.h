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
  /** Identity of the request. */
  std::string RequestId;

  /** Targets repeat RequestId in each answer. */
  bool EchoesRequestId = false;

  /** Milliseconds for which the caller still waits. */
  std::string DeadlineRemaining;

  /** Service of the VM at which the call began; set by the node. */
  std::string CallerService;

  /** Target that is meant; any other one refuses the request. */
  std::string ExpectedTarget;

  /** Target that answers. */
  std::string TargetId;

  /** Says in a target's answer that it did not run the request. */
  std::string NotRun;

  /** Value of NotRun that says so; empty for any value. */
  std::string NotRunValue;

  /** A target's load: running, waiting, slots. */
  std::string Load;

  /** Mark of a target under its own answers. */
  std::string Signature;

  /** Calls that led to this one. */
  std::string Depth;

  /** Route that was chosen, for the target. */
  std::string Route;

  /** Key under which a request runs once, however often it is sent. */
  std::string IdempotencyKey;

  /** How a call ended, in the node's own answers. */
  std::string Outcome;

  /** Why a call failed, in the node's own answers. */
  std::string Reason;

  /** Forbids the nodes above to repeat the call. */
  std::string NoRetry;
};

/**
 * How calls are spoken to callers and targets.
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

/** The dialects by the platform's protocol in the node's settings. */
using CallProtocolRegistry = Registry<CallProtocol>;

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_HTTP_CALLPROTOCOL_H
