#ifndef BLUEBELLBARROW_KERNEL_CLIENTCONNECTION_H
#define BLUEBELLBARROW_KERNEL_CLIENTCONNECTION_H

#include "clock.h"
#include "requestpipeline.h"
#include "sendprogress.h"
#include "tcpconnection.h"

#include <cstddef>
#include <memory>
#include <utility>

namespace bluebellbarrow {

/**
 * One client of an HttpServer: its connection, its requests, and how far it has
 * read the responses.
 *
 * Thread safety: none; owned by one task.
 */
struct ClientConnection {
  ClientConnection(const HttpLimits &Limits, size_t MaxPipelinedRequests,
                   RequestPipeline::IdempotencyCheck IsIdempotent,
                   TimePoint Now)
      : Pipeline(Limits, MaxPipelinedRequests, std::move(IsIdempotent)),
        Progress(Now), LastActivityTime(Now) {}

  /** Returns true while a request is open or a response is not sent yet. */
  bool isBusy() const {
    return this->Pipeline.hasOpenRequests() ||
           this->Connection->queuedBytes() > 0;
  }

  std::unique_ptr<TcpConnection> Connection;
  RequestPipeline Pipeline;
  SendProgress Progress;

  /**
   * When bytes were last received or delivered, or the last response was sent.
   */
  TimePoint LastActivityTime;

  TimePoint LastResponseTime;

  /** Bytes counted in HttpServer::BufferedBytes. */
  size_t BufferedBytes = 0;

  bool ReadEnabled = true;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_CLIENTCONNECTION_H
