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
 * Converts callers' HTTP requests to messages between nodes, and makes the
 * node's own error responses.
 *
 * Thread safety: immutable, safe.
 */
class CallerHttpCodec {
public:
  /** \pre \a Protocol outlives the object. */
  explicit CallerHttpCodec(const CallProtocol &Protocol) : Protocol(Protocol) {}

  /** Returns the request id that the caller set; empty without one. */
  std::string_view requestId(const HttpRequest &Request) const;

  /** Returns the Host header in lower case, without the port. */
  std::string host(const HttpRequest &Request) const;

  /** Returns the number of calls that led to a request; 0 without a header. */
  int64_t depth(const HttpRequest &Request) const;

  /**
   * Returns the time until the caller's deadline, between zero and
   * \a Max; \a Max when the request has none or a malformed one.
   */
  Duration remainingTime(const HttpRequest &Request, Duration Max) const;

  /** Returns the idempotency key of a request; empty without one. */
  std::string_view idempotencyKey(const HttpRequest &Request) const;

  /**
   * Returns the message for a request from a VM of \a CallerService to
   * \a Service. Fields that differ between attempts are left unset.
   */
  RequestMessage toRequestMessage(const HttpRequest &Request,
                                  const RouteEntry &Route,
                                  const ServiceName &Service,
                                  const ServiceName &CallerService) const;

  /**
   * Returns this node's response to a call that failed. Its headers name the
   * outcome and the reason, and forbid retries.
   */
  HttpResponse makeErrorResponse(int Status, const char *OutcomeName,
                                 const std::string &Reason) const;

private:
  const CallProtocol &Protocol;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_HTTP_CALLERHTTPCODEC_H
