#ifndef BLUEBELLBARROW_HTTP_TARGETHTTPCODEC_H
#define BLUEBELLBARROW_HTTP_TARGETHTTPCODEC_H

#include "callprotocol.h"
#include "kernel/clock.h"
#include "kernel/httpclient.h"
#include "plugins/peer/peermessages.h"

namespace bluebellbarrow {

/**
 * Translates between messages of nodes and HTTP as a target speaks it.
 *
 * Thread safety: immutable, safe.
 */
class TargetHttpCodec {
public:
  /** \pre \a Dialect outlives the object. */
  explicit TargetHttpCodec(const CallProtocol &Dialect) : Protocol(Dialect) {}

  /**
   * Returns the request for \a Expected; a caller's own claims about its
   * service and the target are replaced. \a Left is the time that the caller
   * still waits; it is rounded down to milliseconds, and 1 ms at least.
   */
  HttpRequest toHttpRequest(const RequestMessage &Message,
                            const TargetInstanceId &Expected,
                            Duration Left) const;

  /**
   * Returns what \a Result says of request \a Number; an answer that lacks the
   * target's mark is none, so the outcome is unknown.
   */
  ReplyMessage toReplyMessage(RequestNumber Number,
                              const CallResult &Result) const;

private:
  bool isNotRunResponse(const HttpResponse &Response) const;
  bool isSigned(const HttpResponse &Response) const;
  void decodeResponse(const HttpResponse &Response,
                      ReplyMessage &Message) const;

  const CallProtocol &Protocol;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_HTTP_TARGETHTTPCODEC_H
