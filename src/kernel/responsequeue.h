#ifndef BLUEBELLBARROW_KERNEL_RESPONSEQUEUE_H
#define BLUEBELLBARROW_KERNEL_RESPONSEQUEUE_H

#include "httpmessage.h"
#include "ids.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace bluebellbarrow {

/** Number of one request and its response on an HttpServer; never reused. */
using ExchangeId = StrongNumber<struct ExchangeIdTag>;

/** A started request of a connection, and its response once it is known. */
struct QueuedResponse {
  ExchangeId Exchange;
  size_t RequestBytes = 0;
  bool IsHeadRequest = false;
  bool IsHttp10 = false;

  /** The client keeps the connection open after the response. */
  bool KeepAlive = true;

  std::optional<HttpResponse> Response;
};

/**
 * Responses of one connection, which are sent in the order of its requests.
 *
 * Thread safety: none; owned by one task.
 */
class ResponseQueue {
public:
  /** Appends a request that has no response yet. */
  void add(QueuedResponse Request);

  /** Sets the response to a request; does nothing for an unknown one. */
  void setResponse(ExchangeId Exchange, HttpResponse Response);

  /**
   * Removes and returns the oldest request if its response is known. Otherwise,
   * the responses behind it have to wait.
   */
  std::optional<QueuedResponse> takeNext();

  bool empty() const { return this->Requests.empty(); }

  size_t size() const { return this->Requests.size(); }

  /** Returns the newest request. \pre not empty(). */
  const QueuedResponse &newest() const { return this->Requests.back(); }

  /** Returns the requests without a response, oldest first. */
  std::vector<ExchangeId> unanswered() const;

  /** Returns the bytes of bodies: of open requests and held responses. */
  size_t bufferedBytes() const { return this->BufferedBytes; }

private:
  std::deque<QueuedResponse> Requests;
  size_t BufferedBytes = 0;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_RESPONSEQUEUE_H
