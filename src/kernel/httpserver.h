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
      Requested;

  /** The caller went away before its answer was written. */
  std::function<void(ExchangeId)> Aborted;

  /** A request was refused before it was whole. */
  std::function<void(const Error &)> Malformed;
};

/** What a client may send, and how long it may take. */
struct HttpServerLimits {
  HttpLimits Message;

  /** Time from the first byte of a request to the end of its head. */
  Duration HeaderTime = seconds(10);

  /** Time without a byte, within a body or between two requests. */
  Duration IdleTime = seconds(75);

  /** Bytes of requests that are held at once; more are refused. */
  size_t MaxHeldBytes = size_t{32} * 1024 * 1024;
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
  bool listening() const { return this->Listener != nullptr; }

  /** Replaces the limits for requests that have not begun. */
  void setLimits(const HttpServerLimits &New);

  /** Asks each client to close its connection after its answer. */
  void setLeaving(bool On) { this->Leaving = On; }

  /** Answers a request; does nothing when the caller has gone. */
  void respond(ExchangeId Id, HttpResponse Response);

  /** Returns the requests that are not answered yet. */
  size_t open() const { return this->Exchanges.size(); }

  /** Returns the connections that are open. */
  size_t connections() const { return this->Clients.size(); }

  /** Returns when the last byte of a request came. */
  TimePoint lastReceived() const { return this->LastReceived; }

private:
  struct Client;
  using ClientId = uint64_t;

  void accept(int Socket);
  void receive(ClientId Id, std::string_view Bytes);
  void advance(ClientId Id);
  void onHead(Client &From);
  void refuse(ClientId Id, int Status, const std::string &Reason);
  void onEnded(ClientId Id);
  void sweep();
  void checkTime(ClientId Id, TimePoint Now);
  void countHeld(Client &Of);
  bool holdsTooMuch(const Client &Of) const;
  void forget(ClientId Id);
  void closeAfterAnswer(ClientId Id);

  Task &Owner;
  HttpServerOptions Options;
  HttpServerEvents Events;
  std::unique_ptr<TcpListener> Listener;
  std::map<ClientId, std::unique_ptr<Client>> Clients;
  std::map<ExchangeId, ClientId> Exchanges;
  Timer Sweep;
  uint64_t LastExchange = 0;
  ClientId LastClient = 0;

  /** Bytes of requests that are held for all clients. */
  size_t Held = 0;

  TimePoint LastReceived;
  bool Leaving = false;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_HTTPSERVER_H
