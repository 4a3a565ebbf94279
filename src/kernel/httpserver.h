#ifndef BLUEBELLBARROW_KERNEL_HTTPSERVER_H
#define BLUEBELLBARROW_KERNEL_HTTPSERVER_H

#include "error.h"
#include "httpmessage.h"
#include "ids.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

struct lws;
struct lws_vhost;

namespace bluebellbarrow {

class Task;

/** Number of one request on an HttpServer, never used twice. */
using ExchangeId = StrongNumber<struct ExchangeIdTag>;

/** What a server reports; each member is called on the server's task. */
struct HttpServerEvents {
  /** A whole request. It must be answered with respond(), once. */
  std::function<void(ExchangeId, const HttpRequest &, const Address &)>
      Requested;

  /** The caller went away before its answer was written. */
  std::function<void(ExchangeId)> Aborted;

  /** A request was refused before it was whole. */
  std::function<void(const Error &)> Malformed;
};

/** Where a server listens and what it accepts. */
struct HttpServerOptions {
  std::string Name;
  Address Ip;
  int Port = 0;
  size_t MaxBodyBytes = 0;

  /** Headers to collect besides those that the library knows. */
  std::vector<std::string> CustomHeaders;
};

/**
 * HTTP/1.1 server that hands out whole requests and takes whole answers, in
 * any order between connections.
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

  /** Returns false when the port can't be listened on. */
  bool listening() const { return this->Vhost != nullptr; }

  /** Answers a request; does nothing when the caller has gone. */
  void respond(ExchangeId Id, HttpResponse Response);

  /** Returns the requests that are not answered yet. */
  size_t open() const { return this->Exchanges.size(); }

  /** Handles an event of the library; not for other callers. */
  int handleEvent(lws *Wsi, int Reason, void *User, void *In, size_t Length);

private:
  struct Exchange;
  struct Connection;

  int begin(lws *Wsi, Connection &Client, const char *Path, size_t Length);
  int appendBody(Connection &Client, const char *Data, size_t Length);
  int refuse(lws *Wsi, Connection &Client, int Status, const char *Reason);
  void finishRequest(lws *Wsi, Connection &Client);
  int write(lws *Wsi, Connection &Client);
  void abort(Connection &Client);

  Task &Owner;
  HttpServerOptions Options;
  HttpServerEvents Events;
  lws_vhost *Vhost = nullptr;
  std::map<ExchangeId, std::unique_ptr<Exchange>> Exchanges;
  uint64_t LastExchange = 0;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_HTTPSERVER_H
