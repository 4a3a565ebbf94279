#include "httpserver.h"

#include "task.h"
#include "tcplistener.h"

#include <unistd.h>
#include <vector>

namespace bluebellbarrow {

namespace {

/** Time between two checks of the clients' timeouts. */
constexpr Duration TimeoutCheckPeriod = milliseconds(250);

/** Bytes that a client may pipeline while its request is being answered. */
constexpr size_t MaxPipelinedBytes = size_t{64} * 1024;

constexpr const char *ContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

/** Bytes that a client may have buffered even above MaxBufferedBytes. */
constexpr size_t MinBufferedBytesPerClient = size_t{64} * 1024;

constexpr int StatusRequestTimeout = 408;
constexpr int StatusServiceUnavailable = 503;

} // namespace

struct HttpServer::ClientConnection {
  ClientConnection(const HttpLimits &Limits)
      : Parser(HttpParser::Kind::Request, Limits) {}

  std::unique_ptr<TcpConnection> Connection;
  HttpParser Parser;

  /** The request that is being answered; 0 for none. */
  ExchangeId CurrentExchange;

  /** When the first byte of the current request was received. */
  TimePoint RequestStart;

  /** When bytes were last received or the last response was sent. */
  TimePoint LastActivityTime;

  /** Bytes counted in HttpServer::BufferedBytes. */
  size_t BufferedBytes = 0;

  /** onHeaderComplete() was called for the current request. */
  bool HeaderHandled = false;
};

HttpServer::HttpServer(Task &Owner, HttpServerOptions NewOptions,
                       HttpServerEvents Events)
    : Owner(Owner), Options(std::move(NewOptions)), Events(std::move(Events)),
      TimeoutTimer(Owner, [this] { this->checkTimeouts(); }) {
  auto NewListener = std::make_unique<TcpListener>(
      Owner, this->Options.Local, [this](int Socket) { this->accept(Socket); });
  if (NewListener->isListening())
    this->Listener = std::move(NewListener);
}

HttpServer::~HttpServer() = default;

void HttpServer::setLimits(const HttpServerLimits &NewLimits) {
  this->Options.Limits = NewLimits;
  for (const auto &[Id, Client] : this->Connections)
    Client->Parser.setLimits(NewLimits.MessageLimits);
}

void HttpServer::accept(int Socket) {
  if (this->Connections.size() >= this->Options.MaxConnections) {
    close(Socket);
    this->Events.Malformed(makeError(Errc::TooLarge, "accept connection",
                                     this->Options.Name,
                                     "too many connections"));
    return;
  }
  if (this->Connections.empty())
    this->TimeoutTimer.start(TimeoutCheckPeriod);
  const ConnectionId Id = ++this->LastConnectionId;
  auto Client =
      std::make_unique<ClientConnection>(this->Options.Limits.MessageLimits);
  Client->LastActivityTime = Task::now();
  Client->Connection = std::make_unique<TcpConnection>(
      this->Owner, Socket,
      TcpEvents{
          .Connected = nullptr,
          .Received =
              [this, Id](std::string_view Bytes) { this->receive(Id, Bytes); },
          .Closed = [this, Id](TcpCloseReason) { this->onClosed(Id); },
          .Drained = nullptr});
  this->Connections.emplace(Id, std::move(Client));
}

void HttpServer::receive(ConnectionId Id, std::string_view Bytes) {
  ClientConnection &Client = *this->Connections.at(Id);
  const TimePoint Now = Task::now();
  this->LastReceiveTime = Now;
  Client.LastActivityTime = Now;
  if (!Client.Parser.hasStarted())
    Client.RequestStart = Now;
  Client.Parser.feed(Bytes);
  this->updateBufferedBytes(Client);
  if (Client.CurrentExchange.value() == 0 && this->exceedsBufferLimit(Client)) {
    this->refuse(Id, StatusServiceUnavailable, "the node holds too many bytes");
    return;
  }
  if (Client.CurrentExchange.value() == 0)
    this->processReceived(Id);
  else if (Client.Parser.surplusBytes() > MaxPipelinedBytes)
    Client.Connection->setReadEnabled(false);
}

void HttpServer::updateBufferedBytes(ClientConnection &Client) {
  this->BufferedBytes -= Client.BufferedBytes;
  Client.BufferedBytes = Client.Parser.bufferedBytes();
  this->BufferedBytes += Client.BufferedBytes;
}

bool HttpServer::exceedsBufferLimit(const ClientConnection &Client) const {
  return this->BufferedBytes > this->Options.Limits.MaxBufferedBytes &&
         Client.BufferedBytes > MinBufferedBytesPerClient;
}

void HttpServer::removeConnection(ConnectionId Id) {
  const auto Found = this->Connections.find(Id);
  this->BufferedBytes -= Found->second->BufferedBytes;
  this->Connections.erase(Found);
}

void HttpServer::onHeaderComplete(ClientConnection &Client) {
  Client.HeaderHandled = true;
  const std::string_view Expected =
      headerValue(Client.Parser.request().Headers, "expect");
  if (!Client.Parser.isComplete() && sameHeaderName(Expected, "100-continue"))
    Client.Connection->send(ContinueResponse);
}

void HttpServer::processReceived(ConnectionId Id) {
  ClientConnection &Client = *this->Connections.at(Id);
  const HttpParseError ParseError = Client.Parser.error();
  if (ParseError != HttpParseError::None) {
    this->refuse(Id, parseErrorStatus(ParseError), parseErrorText(ParseError));
    return;
  }
  if (Client.Parser.isHeaderComplete() && !Client.HeaderHandled)
    this->onHeaderComplete(Client);
  if (!Client.Parser.isComplete())
    return;
  const HttpRequest &Request = Client.Parser.request();
  if (Request.RequestTarget.empty() || Request.RequestTarget.front() != '/') {
    this->refuse(Id, parseErrorStatus(HttpParseError::BadSyntax),
                 "the request target is not a path");
    return;
  }
  Client.CurrentExchange = ExchangeId(++this->LastExchangeId);
  this->Exchanges.emplace(Client.CurrentExchange, Id);
  this->Events.RequestReceived(Client.CurrentExchange, Request,
                               Client.Connection->remote());
}

void HttpServer::refuse(ConnectionId Id, int Status,
                        const std::string &Reason) {
  ClientConnection &Client = *this->Connections.at(Id);
  this->Events.Malformed(makeError(Errc::BadSyntax, "read request",
                                   Client.Connection->remote().str(), Reason));
  const HttpResponse Response{.Status = Status,
                              .Headers = {},
                              .Body = Reason + "\n",
                              .CloseConnection = true};
  Client.Connection->send(encodeResponse(Response, false, false));
  this->closeGracefully(Id);
}

void HttpServer::closeGracefully(ConnectionId Id) {
  const auto Found = this->Connections.find(Id);
  std::unique_ptr<TcpConnection> Closing = std::move(Found->second->Connection);
  this->removeConnection(Id);
  TcpConnection::closeGracefully(this->Owner, std::move(Closing));
}

void HttpServer::respond(ExchangeId Exchange, HttpResponse Response) {
  const auto FoundExchange = this->Exchanges.find(Exchange);
  if (FoundExchange == this->Exchanges.end())
    return;
  const ConnectionId Id = FoundExchange->second;
  this->Exchanges.erase(FoundExchange);
  ClientConnection &Client = *this->Connections.at(Id);
  const bool IsHeadRequest = Client.Parser.request().Method == "HEAD";
  Response.CloseConnection = Response.CloseConnection ||
                             this->CloseAfterResponse ||
                             !Client.Parser.shouldKeepAlive();
  Client.Connection->send(
      encodeResponse(Response, IsHeadRequest, Client.Parser.isHttp10()));
  if (Response.CloseConnection) {
    this->closeGracefully(Id);
    return;
  }
  Client.CurrentExchange = ExchangeId();
  Client.HeaderHandled = false;
  Client.LastActivityTime = Task::now();
  Client.RequestStart = Client.LastActivityTime;
  Client.Parser.next();
  this->updateBufferedBytes(Client);
  Client.Connection->setReadEnabled(true);
  if (Client.Parser.hasStarted())
    this->Owner.post([this, Id] {
      const auto Found = this->Connections.find(Id);
      if (Found != this->Connections.end() &&
          Found->second->CurrentExchange.value() == 0)
        this->processReceived(Id);
    });
}

void HttpServer::onClosed(ConnectionId Id) {
  const auto Found = this->Connections.find(Id);
  if (Found == this->Connections.end())
    return;
  const ExchangeId Current = Found->second->CurrentExchange;
  // Destroyed only after the request was reported as aborted.
  const std::unique_ptr<TcpConnection> Closed =
      std::move(Found->second->Connection);
  this->removeConnection(Id);
  if (this->Exchanges.erase(Current) > 0)
    this->Events.Aborted(Current);
}

void HttpServer::checkTimeouts() {
  std::vector<ConnectionId> Ids;
  Ids.reserve(this->Connections.size());
  for (const auto &[Id, Client] : this->Connections)
    Ids.push_back(Id);
  const TimePoint Now = Task::now();
  for (const ConnectionId Id : Ids)
    this->checkTimeout(Id, Now);
  if (!this->Connections.empty())
    this->TimeoutTimer.start(TimeoutCheckPeriod);
}

void HttpServer::checkTimeout(ConnectionId Id, TimePoint Now) {
  const auto Found = this->Connections.find(Id);
  if (Found == this->Connections.end() ||
      Found->second->CurrentExchange.value() != 0)
    return;
  const ClientConnection &Client = *Found->second;
  const HttpServerLimits &Limits = this->Options.Limits;
  const bool Started = Client.Parser.hasStarted();
  const bool HeaderTimedOut = Started && !Client.Parser.isHeaderComplete() &&
                              Now - Client.RequestStart > Limits.HeaderTimeout;
  const bool Idle = Now - Client.LastActivityTime > Limits.IdleTimeout;
  if (HeaderTimedOut || (Idle && Started))
    this->refuse(Id, StatusRequestTimeout,
                 "the request took too long to arrive");
  else if (Idle)
    this->closeGracefully(Id);
}

} // namespace bluebellbarrow
