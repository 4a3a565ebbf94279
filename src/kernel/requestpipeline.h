#ifndef BLUEBELLBARROW_KERNEL_REQUESTPIPELINE_H
#define BLUEBELLBARROW_KERNEL_REQUESTPIPELINE_H

#include "arrivaltimes.h"
#include "clock.h"
#include "httpparser.h"
#include "responsequeue.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace bluebellbarrow {

/** A complete request that has started. */
struct StartedRequest {
  HttpRequest Request;

  /** When its first byte was received. */
  TimePoint ReceivedAt;
};

/** Why the bytes of a client are refused. */
struct RequestFault {
  int Status = 0;
  std::string Reason;
};

/** The next response of a connection, in the HTTP format. */
struct EncodedResponse {
  std::string Bytes;

  /** The connection is to be closed afterwards. */
  bool Close = false;
};

/**
 * The requests and responses of one client connection, without its socket.
 * Requests that may be repeated run at the same time (pipelining); responses
 * are sent in the order of the requests.
 *
 * Source: RFC 7230, section 6.3.2.
 * Thread safety: none; owned by one task.
 */
class RequestPipeline {
public:
  /** Returns true for a request that may run more than once. */
  using IdempotencyCheck = std::function<bool(const HttpRequest &)>;

  /** \a IsIdempotent may be empty: requests then run one after the other. */
  RequestPipeline(const HttpLimits &Limits, size_t MaxOpenRequests,
                  IdempotencyCheck IsIdempotent);

  /** Sets limits; those of messages apply from the next header on. */
  void setLimits(const HttpLimits &Limits, size_t MaxOpenRequests);

  /** Appends received bytes. \pre \a Now is not before that of other calls. */
  void feed(std::string_view Bytes, TimePoint Now);

  /** Sets that nothing starts behind open requests, and the last one closes. */
  void setClosing(bool Enabled) { this->Closing = Enabled; }

  /**
   * Returns the fault of the bytes behind the last request. It is known only
   * once all responses before it are sent.
   */
  std::optional<RequestFault> fault() const;

  /** Returns true, once for a request, if "100 Continue" is to be sent. */
  bool takeContinue();

  /**
   * Starts the next request as \a Exchange if it is complete and may start.
   * \pre \a Exchange is new.
   */
  std::optional<StartedRequest> startNext(ExchangeId Exchange);

  /** Sets the response to a started request. */
  void setResponse(ExchangeId Exchange, HttpResponse Response) {
    this->Responses.setResponse(Exchange, std::move(Response));
  }

  /** Removes and returns the response that is to be sent next, if known. */
  std::optional<EncodedResponse> takeResponse();

  /** Returns true while a started request has no sent response. */
  bool hasOpenRequests() const { return !this->Responses.empty(); }

  /** Returns the started requests without a response, oldest first. */
  std::vector<ExchangeId> unanswered() const {
    return this->Responses.unanswered();
  }

  /** Returns the buffered bytes of requests and responses. */
  size_t bufferedBytes() const {
    return this->Parser.bufferedBytes() + this->Responses.bufferedBytes();
  }

  /** Returns the received bytes that wait until a request can start. */
  size_t waitingBytes() const { return this->Parser.surplusBytes(); }

  /** Returns true when a part of the next request was received. */
  bool hasPartialRequest() const { return this->Parser.hasStarted(); }

  /** Returns true when the header of the next request is complete. */
  bool isHeaderComplete() const { return this->Parser.isHeaderComplete(); }

  /**
   * Returns when the first byte of the next request was received.
   * \pre hasPartialRequest().
   */
  TimePoint requestStart() const { return this->RequestStart; }

private:
  bool mayStart();

  HttpParser Parser;
  ResponseQueue Responses;
  ArrivalTimes Arrivals;
  IdempotencyCheck IsIdempotent;
  size_t MaxOpenRequests;

  /** When the first byte of the request that the parser holds was received. */
  TimePoint RequestStart;

  /** takeContinue() was decided for the request that the parser holds. */
  bool ContinueDecided = false;

  bool Closing = false;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_REQUESTPIPELINE_H
