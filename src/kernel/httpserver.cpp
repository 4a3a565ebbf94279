#include "httpserver.h"

#include "task.h"
#include "tcplistener.h"

#include <unistd.h>
#include <vector>

namespace bluebellbarrow {

namespace {

/** Time between two looks at the clients' time limits. */
constexpr Duration SweepPeriod = milliseconds(250);

/** Bytes that a client may send ahead while a request is being answered. */
constexpr size_t MaxAheadBytes = size_t{64} * 1024;

constexpr const char *ContinueBytes = "HTTP/1.1 100 Continue\r\n\r\n";

/** Bytes that are held for a client whatever others hold. */
constexpr size_t SmallRequestBytes = size_t{64} * 1024;

constexpr int StatusTimeout = 408;
constexpr int StatusNotRun = 503;

} // namespace

/** One connection of a client. */
struct HttpServer::ClientConnection {
  ClientConnection(const HttpLimits &Limits)
      : Parser(HttpParser::Kind::Request, Limits) {}

  std::unique_ptr<TcpConnection> Connection;
  HttpParser Parser;

  /** The request that is being answered; 0 for none. */
  ExchangeId CurrentExchange;

  /** When the first byte of the current request came. */
  TimePoint RequestStart;

  TimePoint LastByteTime;

  /** Bytes counted in HttpServer::Held. */
  size_t BufferedBytes = 0;

  bool HeaderHandled = false;
};

HttpServer::HttpServer(Task &Owner, HttpServerOptions NewOptions,
                       HttpServerEvents Events)
    : Owner(Owner), Options(std::move(NewOptions)), Events(std::move(Events)),
      TimeoutTimer(Owner, [this] { this->checkTimeouts(); }) {
  auto New = std::make_unique<TcpListener>(
      Owner, this->Options.Local, [this](int Socket) { this->accept(Socket); });
  if (New->isListening())
    this->Listener = std::move(New);
}

HttpServer::~HttpServer() = default;

void HttpServer::setLimits(const HttpServerLimits &New) {
  this->Options.Limits = New;
  for (const auto &[Id, Each] : this->Connections)
    Each->Parser.setLimits(New.MessageLimits);
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
    this->TimeoutTimer.start(SweepPeriod);
  const ConnectionId Id = ++this->LastConnectionId;
  auto New =
      std::make_unique<ClientConnection>(this->Options.Limits.MessageLimits);
  New->LastByteTime = Task::now();
  New->Connection = std::make_unique<TcpConnection>(
      this->Owner, Socket,
      TcpEvents{
          .Connected = nullptr,
          .Received =
              [this, Id](std::string_view Bytes) { this->receive(Id, Bytes); },
          .Closed = [this, Id](TcpCloseReason) { this->onClosed(Id); },
          .Drained = nullptr});
  this->Connections.emplace(Id, std::move(New));
}

void HttpServer::receive(ConnectionId Id, std::string_view Bytes) {
  ClientConnection &From = *this->Connections.at(Id);
  const TimePoint Now = Task::now();
  this->LastReceiveTime = Now;
  From.LastByteTime = Now;
  if (!From.Parser.hasStarted())
    From.RequestStart = Now;
  From.Parser.feed(Bytes);
  this->updateBufferedBytes(From);
  if (From.CurrentExchange.value() == 0 && this->exceedsBufferLimit(From)) {
    this->refuse(Id, StatusNotRun, "the node holds too many bytes");
    return;
  }
  if (From.CurrentExchange.value() == 0)
    this->processReceived(Id);
  else if (From.Parser.surplusBytes() > MaxAheadBytes)
    From.Connection->setReadEnabled(false);
}

void HttpServer::updateBufferedBytes(ClientConnection &Of) {
  this->BufferedBytes -= Of.BufferedBytes;
  Of.BufferedBytes = Of.Parser.bufferedBytes();
  this->BufferedBytes += Of.BufferedBytes;
}

bool HttpServer::exceedsBufferLimit(const ClientConnection &Of) const {
  return this->BufferedBytes > this->Options.Limits.MaxBufferedBytes &&
         Of.BufferedBytes > SmallRequestBytes;
}

void HttpServer::removeConnection(ConnectionId Id) {
  const auto Found = this->Connections.find(Id);
  this->BufferedBytes -= Found->second->BufferedBytes;
  this->Connections.erase(Found);
}

void HttpServer::onHeader(ClientConnection &From) {
  From.HeaderHandled = true;
  const std::string_view Expected =
      headerValue(From.Parser.request().Headers, "expect");
  if (!From.Parser.isComplete() && sameHeaderName(Expected, "100-continue"))
    From.Connection->send(ContinueBytes);
}

void HttpServer::processReceived(ConnectionId Id) {
  ClientConnection &From = *this->Connections.at(Id);
  const HttpParseError Fault = From.Parser.error();
  if (Fault != HttpParseError::None) {
    this->refuse(Id, parseErrorStatus(Fault), parseErrorText(Fault));
    return;
  }
  if (From.Parser.isHeaderComplete() && !From.HeaderHandled)
    this->onHeader(From);
  if (!From.Parser.isComplete())
    return;
  const HttpRequest &Request = From.Parser.request();
  if (Request.RequestTarget.empty() || Request.RequestTarget.front() != '/') {
    this->refuse(Id, parseErrorStatus(HttpParseError::BadSyntax),
                 "the request target is not a path");
    return;
  }
  From.CurrentExchange = ExchangeId(++this->LastExchangeId);
  this->Exchanges.emplace(From.CurrentExchange, Id);
  this->Events.RequestReceived(From.CurrentExchange, Request,
                               From.Connection->remote());
}

void HttpServer::refuse(ConnectionId Id, int Status,
                        const std::string &Reason) {
  ClientConnection &From = *this->Connections.at(Id);
  this->Events.Malformed(makeError(Errc::BadSyntax, "read request",
                                   From.Connection->remote().str(), Reason));
  const HttpResponse Answer{.Status = Status,
                            .Headers = {},
                            .Body = Reason + "\n",
                            .CloseConnection = true};
  From.Connection->send(encodeResponse(Answer, false, false));
  this->closeGracefully(Id);
}

void HttpServer::closeGracefully(ConnectionId Id) {
  const auto Found = this->Connections.find(Id);
  std::unique_ptr<TcpConnection> Closing = std::move(Found->second->Connection);
  this->removeConnection(Id);
  TcpConnection::closeGracefully(this->Owner, std::move(Closing));
}

void HttpServer::respond(ExchangeId Exchange, HttpResponse Response) {
  const auto Known = this->Exchanges.find(Exchange);
  if (Known == this->Exchanges.end())
    return;
  const ConnectionId Id = Known->second;
  this->Exchanges.erase(Known);
  ClientConnection &To = *this->Connections.at(Id);
  const bool ToHead = To.Parser.request().Method == "HEAD";
  Response.CloseConnection = Response.CloseConnection ||
                             this->CloseAfterResponse ||
                             !To.Parser.shouldKeepAlive();
  To.Connection->send(encodeResponse(Response, ToHead, To.Parser.isHttp10()));
  if (Response.CloseConnection) {
    this->closeGracefully(Id);
    return;
  }
  To.CurrentExchange = ExchangeId();
  To.HeaderHandled = false;
  To.LastByteTime = Task::now();
  To.RequestStart = To.LastByteTime;
  To.Parser.next();
  this->updateBufferedBytes(To);
  To.Connection->setReadEnabled(true);
  if (To.Parser.hasStarted())
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
  // Closed only after its request was reported as aborted.
  const std::unique_ptr<TcpConnection> Gone =
      std::move(Found->second->Connection);
  this->removeConnection(Id);
  if (this->Exchanges.erase(Current) > 0)
    this->Events.Aborted(Current);
}

void HttpServer::checkTimeouts() {
  std::vector<ConnectionId> All;
  All.reserve(this->Connections.size());
  for (const auto &[Id, Each] : this->Connections)
    All.push_back(Id);
  const TimePoint Now = Task::now();
  for (const ConnectionId Id : All)
    this->checkTimeout(Id, Now);
  if (!this->Connections.empty())
    this->TimeoutTimer.start(SweepPeriod);
}

void HttpServer::checkTimeout(ConnectionId Id, TimePoint Now) {
  const auto Found = this->Connections.find(Id);
  if (Found == this->Connections.end() ||
      Found->second->CurrentExchange.value() != 0)
    return;
  const ClientConnection &Each = *Found->second;
  const HttpServerLimits &Limits = this->Options.Limits;
  const bool Begun = Each.Parser.hasStarted();
  const bool HeadLate = Begun && !Each.Parser.isHeaderComplete() &&
                        Now - Each.RequestStart > Limits.HeaderTimeout;
  const bool Idle = Now - Each.LastByteTime > Limits.IdleTimeout;
  if (HeadLate || (Idle && Begun))
    this->refuse(Id, StatusTimeout, "the request took too long to arrive");
  else if (Idle)
    this->closeGracefully(Id);
}

} // namespace bluebellbarrow
