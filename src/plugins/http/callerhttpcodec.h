#ifndef BLUEBELLBARROW_HTTP_CALLERHTTPCODEC_H
#define BLUEBELLBARROW_HTTP_CALLERHTTPCODEC_H

#include "callprotocol.h"
#include "kernel/clock.h"
#include "kernel/httpmessage.h"
#include "plugins/peer/peermessages.h"
#include "tree/snapshot.h"

#include <string>
#include <string_view>

namespace bluebellbarrow {

/**
 * Translates between HTTP as callers speak it and messages of nodes, and makes
 * the node's own answers.
 *
 * Thread safety: immutable, safe.
 */
class CallerHttpCodec {
public:
  /** \pre \a Dialect outlives the object. */
  explicit CallerHttpCodec(const CallProtocol &Dialect) : Protocol(Dialect) {}

  /** Returns the caller's own id of a request; empty without one. */
  std::string_view requestId(const HttpRequest &Request) const;

  /** Returns the host that a request names: lower case, without a port. */
  std::string host(const HttpRequest &Request) const;

  /** Returns the calls that led to a request, as it says. */
  int64_t depth(const HttpRequest &Request) const;

  /** Returns how long the caller waits: between zero and \a Longest. */
  Duration remainingTime(const HttpRequest &Request, Duration Longest) const;

  /** Returns the key under which a request runs once; empty without one. */
  std::string_view idempotencyKey(const HttpRequest &Request) const;

  /** Returns the message for a request that comes from \a Caller. */
  RequestMessage toRequestMessage(const HttpRequest &Request,
                                  const RouteEntry &Route,
                                  const ServiceName &Service,
                                  const ServiceName &Caller) const;

  /** Returns an answer of the node itself that says how a call ended. */
  HttpResponse makeErrorResponse(int Status, const char *Outcome,
                                 const std::string &Reason) const;

private:
  const CallProtocol &Protocol;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_HTTP_CALLERHTTPCODEC_H
