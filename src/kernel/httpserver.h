#ifndef BLUEBELLBARROW_KERNEL_HTTPSERVER_H
#define BLUEBELLBARROW_KERNEL_HTTPSERVER_H

#include "bytebudget.h"
#include "clock.h"
#include "closingconnections.h"
#include "crowdcontrol.h"
#include "error.h"
#include "httpmessage.h"
#include "requestpipeline.h"
#include "tcpconnection.h"
#include "timer.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace bluebellbarrow {

class LinkScheduler;
class Task;
class TcpListener;
struct ClientConnection;

/** Event handlers of an HttpServer; each is called on the server's task. */
struct HttpServerEvents {
  /**
   * A complete request starts, whose first byte was received at the given time;
   * respond() must be called once for it.
   */
  std::function<void(ExchangeId, const HttpRequest &, TimePoint)>
      RequestReceived;

  /** The connection of a request ended before its response was known. */
  std::function<void(ExchangeId)> Aborted;

  /**
   * A connection was refused, or a request for which RequestReceived is not
   * called.
   */
  std::function<void(const Error &)> Malformed;

  /**
   * Returns true for a request that may run more than once; such requests run
   * while earlier ones of their connection are open. May be empty: requests of
   * a connection then run one after the other.
   */
  RequestPipeline::IdempotencyCheck IsIdempotent = nullptr;

  /**
   * A connection ended because its client did not take its responses. May be
   * empty.
   */
  ClosingConnections::StallHandler Stalled = nullptr;
};

/** Size limits and timeouts of requests. */
struct HttpServerLimits {
  HttpLimits MessageLimits;

  /** Time from the first byte of a request to the end of its header. */
  Duration HeaderTimeout = seconds(10);

  /** Time without a received byte, within a request or between requests. */
  Duration IdleTimeout = seconds(75);

  /**
   * Time without an acknowledged byte after which a client that has not
   * received all of its responses is given up.
   */
  Duration StallTimeout = seconds(30);

  /**
   * Buffered bytes of requests and of responses that are not sent yet, over
   * all connections. Above the limit, a connection that buffers more than 64
   * KiB is not read while it has open requests or unsent responses; otherwise,
   * its request is refused.
   */
  size_t MaxBufferedBytes = size_t{32} * 1024 * 1024;

  /** Requests of one connection that may be open at the same time. */
  size_t MaxPipelinedRequests = 16;
};

/** Address and limits of an HttpServer. */
struct HttpServerOptions {
  std::string Name;
  Endpoint Local;
  HttpServerLimits Limits;

  /** Connections that may be open; further ones are closed on arrival. */
  size_t MaxConnections = 1024;

  /** Paces long responses; null for none. Outlives the server. */
  LinkScheduler *Link = nullptr;

  /**
   * Bound of all bytes that the process holds, in place of MaxBufferedBytes;
   * null for none. Outlives the server, which is one of its holders.
   */
  ByteBudget *Budget = nullptr;
};

/**
 * HTTP/1.1 server that reports complete requests and sends complete responses,
 * on each connection in the order of its requests. A client that closes or
 * half-closes its connection aborts its open requests.
 *
 * Thread safety: none; owned by one task.
 */
class HttpServer {
public:
  /** \pre \a Owner outlives the server. */
  HttpServer(Task &Owner, HttpServerOptions Options, HttpServerEvents Events);
  ~HttpServer();

  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /** Returns false when listening on the address failed. */
  bool isListening() const { return this->Listener != nullptr; }

  /**
   * Replaces the limits. MessageLimits apply to requests whose header is not
   * parsed yet.
   */
  void setLimits(const HttpServerLimits &NewLimits);

  /** Sets whether each connection is closed after its last open request. */
  void setCloseAfterResponse(bool Enabled);

  /** Responds to a request; does nothing when the client has disconnected. */
  void respond(ExchangeId Exchange, HttpResponse Response);

  /** Returns the number of requests without a response so far. */
  size_t openRequests() const { return this->Exchanges.size(); }

  /** Returns the number of open connections. */
  size_t connectionCount() const { return this->Connections.size(); }

  /**
   * Returns the number of connections, also closing ones, whose clients have
   * not received all of the responses that were sent.
   */
  size_t undeliveredCount();

  /**
   * Returns the buffered bytes of requests and of responses that are not sent
   * yet, over all connections.
   */
  size_t bufferedBytes() const;

  /**
   * Returns true if \a Bytes fit into the budget beside \a Expected ones; gives
   * up clients that have stalled if they don't. \pre there is a budget.
   */
  bool makeRoom(size_t Bytes, size_t Expected);

  /** Returns true if too many bytes are buffered. */
  bool isOverBufferLimit() const;

  /** Replaces HttpServerOptions::MaxConnections. */
  void setMaxConnections(size_t Count) { this->Options.MaxConnections = Count; }

  /** Returns when bytes were last received from any client. */
  TimePoint lastReceiveTime() const { return this->LastReceiveTime; }

private:
  using ConnectionId = uint64_t;

  void accept(int Socket);
  void receive(ConnectionId Id, std::string_view Bytes);
  void processReceived(ConnectionId Id);
  bool startNextRequest(ConnectionId Id);
  void updateReading(ClientConnection &Client) const;

  /** Returns true if the client is behind with reading its responses. */
  bool mustWaitForClient(const ClientConnection &Client) const;

  /** Gives up a client that has stalled; starts requests that waited for it. */
  void checkSending(ConnectionId Id, TimePoint Now);

  /** Returns the time limit of a stall, which is shorter during a shutdown. */
  Duration stallTimeout() const;

  /** Gives up clients while too many bytes are buffered. */
  void releaseBuffers(TimePoint Now);

  /**
   * Gives up the client for which most is held without progress; returns false
   * if none has stalled for \a MinStall.
   */
  bool giveUpWorst(Duration MinStall, TimePoint Now);

  /** Returns the clients that hold unsent responses. */
  std::vector<UnreadConnection> unreadConnections(TimePoint Now) const;

  /**
   * Makes room for one more connection by closing the one that has been idle
   * for longest. Returns false if none is idle.
   */
  bool closeIdleConnection(TimePoint Now);

  void giveUp(ConnectionId Id, StallLimit Limit, TimePoint Now);
  void sendResponses(ConnectionId Id);
  void refuse(ConnectionId Id, const RequestFault &Fault);
  void onClosed(ConnectionId Id);
  void abortRequests(const std::vector<ExchangeId> &Aborted);
  void checkTimeouts();
  void checkTimeout(ConnectionId Id, TimePoint Now);
  void updateBufferedBytes(ClientConnection &Client);
  bool exceedsBufferLimit(const ClientConnection &Client) const;
  void removeConnection(ConnectionId Id);
  void closeGracefully(ConnectionId Id);

  Task &Owner;
  HttpServerOptions Options;
  HttpServerEvents Events;
  std::unique_ptr<TcpListener> Listener;
  std::map<ConnectionId, std::unique_ptr<ClientConnection>> Connections;
  std::map<ExchangeId, ConnectionId> Exchanges;
  ClosingConnections Closing;
  Timer TimeoutTimer;
  uint64_t LastExchangeId = 0;
  ConnectionId LastConnectionId = 0;

  /** Sum of the connections' buffered bytes, without closing ones. */
  size_t BufferedBytes = 0;

  TimePoint LastReceiveTime;
  bool CloseAfterResponse = false;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_HTTPSERVER_H
