#ifndef BLUEBELLBARROW_KERNEL_HTTPSERVER_H
#define BLUEBELLBARROW_KERNEL_HTTPSERVER_H

#include "clock.h"
#include "error.h"
#include "httpparser.h"
#include "ids.h"
#include "tcpconnection.h"
#include "timer.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace bluebellbarrow {

class Task;
class TcpListener;

/** Number of one request on an HttpServer, never used twice. */
using ExchangeId = StrongNumber<struct ExchangeIdTag>;

/** What a server reports; each member is called on the server's task. */
struct HttpServerEvents {
  /** A whole request. It must be answered with respond(), once. */
  std::function<void(ExchangeId, const HttpRequest &, const Endpoint &)>
      RequestReceived;

  /** The caller went away before its answer was written. */
  std::function<void(ExchangeId)> Aborted;

  /** A request was refused before it was whole. */
  std::function<void(const Error &)> Malformed;
};

/** What a client may send, and how long it may take. */
struct HttpServerLimits {
  HttpLimits MessageLimits;

  /** Time from the first byte of a request to the end of its head. */
  Duration HeaderTimeout = seconds(10);

  /** Time without a byte, within a body or between two requests. */
  Duration IdleTimeout = seconds(75);

  /** Bytes of requests that are held at once; more are refused. */
  size_t MaxBufferedBytes = size_t{32} * 1024 * 1024;
};

/** Where a server listens and what it accepts. */
struct HttpServerOptions {
  std::string Name;
  Endpoint Local;
  HttpServerLimits Limits;

  /** Connections that may be open at once; more are closed at once. */
  size_t MaxConnections = 1024;
};

/**
 * HTTP/1.1 server that hands out whole requests and takes whole answers. A
 * client that closes its connection, or its half of it, has gone.
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

  /** Returns false when the address can't be listened on. */
  bool isListening() const { return this->Listener != nullptr; }

  /** Replaces the limits for requests that have not begun. */
  void setLimits(const HttpServerLimits &New);

  /** Asks each client to close its connection after its answer. */
  void setCloseAfterResponse(bool On) { this->CloseAfterResponse = On; }

  /** Answers a request; does nothing when the caller has gone. */
  void respond(ExchangeId Id, HttpResponse Response);

  /** Returns the requests that are not answered yet. */
  size_t openRequests() const { return this->Exchanges.size(); }

  /** Returns the connections that are open. */
  size_t connectionCount() const { return this->Connections.size(); }

  /** Returns when the last byte of a request came. */
  TimePoint lastReceiveTime() const { return this->LastReceiveTime; }

private:
  struct ClientConnection;
  using ConnectionId = uint64_t;

  void accept(int Socket);
  void receive(ConnectionId Id, std::string_view Bytes);
  void processReceived(ConnectionId Id);
  void onHeader(ClientConnection &From);
  void refuse(ConnectionId Id, int Status, const std::string &Reason);
  void onClosed(ConnectionId Id);
  void checkTimeouts();
  void checkTimeout(ConnectionId Id, TimePoint Now);
  void updateBufferedBytes(ClientConnection &Of);
  bool exceedsBufferLimit(const ClientConnection &Of) const;
  void removeConnection(ConnectionId Id);
  void closeGracefully(ConnectionId Id);

  Task &Owner;
  HttpServerOptions Options;
  HttpServerEvents Events;
  std::unique_ptr<TcpListener> Listener;
  std::map<ConnectionId, std::unique_ptr<ClientConnection>> Connections;
  std::map<ExchangeId, ConnectionId> Exchanges;
  Timer TimeoutTimer;
  uint64_t LastExchangeId = 0;
  ConnectionId LastConnectionId = 0;

  /** Bytes of requests that are held for all clients. */
  size_t BufferedBytes = 0;

  TimePoint LastReceiveTime;
  bool CloseAfterResponse = false;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_HTTPSERVER_H
