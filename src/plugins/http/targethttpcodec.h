#ifndef BLUEBELLBARROW_HTTP_TARGETHTTPCODEC_H
#define BLUEBELLBARROW_HTTP_TARGETHTTPCODEC_H

#include "callprotocol.h"
#include "kernel/clock.h"
#include "kernel/httpclient.h"
#include "plugins/peer/peermessages.h"

namespace bluebellbarrow {

/**
 * Converts between messages of nodes and HTTP messages of a target.
 *
 * Thread safety: immutable, safe.
 */
class TargetHttpCodec {
public:
  /** \pre \a Protocol outlives the object. */
  explicit TargetHttpCodec(const CallProtocol &Protocol) : Protocol(Protocol) {}

  /**
   * Returns the HTTP request for target \a Expected. Headers in which the
   * caller names its service or the target are replaced or removed.
   * \a Remaining is the time until the deadline, sent in whole milliseconds,
   * rounded down, and at least 1.
   */
  HttpRequest toHttpRequest(const RequestMessage &Message,
                            const TargetInstanceId &Expected,
                            Duration Remaining) const;

  /**
   * Returns the reply to request \a Number. A successful response without the
   * target's signature header does not come from the target, so its outcome is
   * unknown.
   */
  ReplyMessage toReplyMessage(RequestNumber Number, CallResult Result) const;

private:
  bool isNotRunResponse(const HttpResponse &Response) const;
  bool passesSignatureCheck(const HttpResponse &Response) const;
  void decodeResponse(HttpResponse Response, ReplyMessage &Message) const;

  const CallProtocol &Protocol;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_HTTP_TARGETHTTPCODEC_H
