#ifndef BLUEBELLBARROW_HTTP_TARGETMESSAGES_H
#define BLUEBELLBARROW_HTTP_TARGETMESSAGES_H

#include "calldialect.h"
#include "kernel/clock.h"
#include "kernel/httpclient.h"
#include "plugins/peer/peermessages.h"

namespace bluebellbarrow {

/**
 * Translates between messages of nodes and HTTP as a target speaks it.
 *
 * Thread safety: immutable, safe.
 */
class TargetMessages {
public:
  /** \pre \a Dialect outlives the object. */
  explicit TargetMessages(const CallDialect &Dialect) : Dialect(Dialect) {}

  /**
   * Returns the request for \a Expected; a caller's own claims about its
   * service and the target are replaced. \a Left is the time that the caller
   * still waits; it is rounded down to milliseconds, and 1 ms at least.
   */
  HttpRequest request(const RequestMessage &Message, const TargetId &Expected,
                      Duration Left) const;

  /**
   * Returns what \a Result says of request \a Number; an answer that lacks the
   * target's mark is none, so the outcome is unknown.
   */
  ReplyMessage reply(RequestNumber Number, const CallResult &Result) const;

private:
  bool saysNotRun(const HttpResponse &Response) const;
  bool isSigned(const HttpResponse &Response) const;
  void readAnswer(const HttpResponse &Response, ReplyMessage &Message) const;

  const CallDialect &Dialect;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_HTTP_TARGETMESSAGES_H
