#include "httpserver.h"

#include "clientconnection.h"
#include "task.h"
#include "tcplistener.h"

#include <algorithm>
#include <optional>
#include <unistd.h>

namespace bluebellbarrow {

namespace {

/** Time between two checks of the clients' timeouts. */
constexpr Duration TimeoutCheckPeriod = milliseconds(250);

/** Bytes that a client may send ahead of the request that can start next. */
constexpr size_t MaxWaitingBytes = size_t{64} * 1024;

constexpr const char *ContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

constexpr int StatusRequestTimeout = 408;
constexpr int StatusServiceUnavailable = 503;

} // namespace

HttpServer::HttpServer(Task &Owner, HttpServerOptions NewOptions,
                       HttpServerEvents Events)
    : Owner(Owner), Options(std::move(NewOptions)), Events(std::move(Events)),
      Closing(Owner, {.StallTimeout = this->Options.Limits.StallTimeout},
              this->Events.Stalled),
      TimeoutTimer(Owner, [this] { this->checkTimeouts(); }) {
  auto NewListener = std::make_unique<TcpListener>(
      Owner, this->Options.Local, [this](int Socket) { this->accept(Socket); });
  if (NewListener->isListening())
    this->Listener = std::move(NewListener);
}

HttpServer::~HttpServer() {
  // What the socket already holds still reaches the client.
  for (const auto &[Id, Client] : this->Connections)
    Client->Connection->setResetOnDestruction(Client->isBusy());
}

void HttpServer::setLimits(const HttpServerLimits &NewLimits) {
  this->Options.Limits = NewLimits;
  this->Closing.setStallTimeout(this->stallTimeout());
  for (const auto &[Id, Client] : this->Connections)
    Client->Pipeline.setLimits(NewLimits.MessageLimits,
                               NewLimits.MaxPipelinedRequests);
}

void HttpServer::setCloseAfterResponse(bool Enabled) {
  this->CloseAfterResponse = Enabled;
  this->Closing.setStallTimeout(this->stallTimeout());
  for (const auto &[Id, Client] : this->Connections)
    Client->Pipeline.setClosing(Enabled);
}

void HttpServer::accept(int Socket) {
  if (this->Connections.size() >= this->Options.MaxConnections &&
      !this->closeIdleConnection(Task::now())) {
    close(Socket);
    this->Events.Malformed(makeError(Errc::TooLarge, "accept connection",
                                     this->Options.Name,
                                     "too many connections"));
    return;
  }
  if (this->Connections.empty())
    this->TimeoutTimer.start(TimeoutCheckPeriod);
  const ConnectionId Id = ++this->LastConnectionId;
  const HttpServerLimits &Limits = this->Options.Limits;
  auto Client = std::make_unique<ClientConnection>(
      Limits.MessageLimits, Limits.MaxPipelinedRequests,
      this->Events.IsIdempotent, Task::now());
  Client->Pipeline.setClosing(this->CloseAfterResponse);
  Client->Connection = std::make_unique<TcpConnection>(
      this->Owner, Socket,
      TcpEvents{
          .Connected = nullptr,
          .Received =
              [this, Id](std::string_view Bytes) { this->receive(Id, Bytes); },
          .Closed = [this, Id](TcpCloseReason) { this->onClosed(Id); },
          .Drained = [this, Id] { this->processReceived(Id); }},
      Duration::zero());
  if (this->Options.Link != nullptr)
    Client->Connection->setLink(*this->Options.Link);
  this->Connections.emplace(Id, std::move(Client));
}

void HttpServer::receive(ConnectionId Id, std::string_view Bytes) {
  ClientConnection &Client = *this->Connections.at(Id);
  const TimePoint Now = Task::now();
  this->LastReceiveTime = Now;
  Client.LastActivityTime = Now;
  Client.Pipeline.feed(Bytes, Now);
  this->updateBufferedBytes(Client);
  if (!Client.isBusy() && this->exceedsBufferLimit(Client)) {
    this->refuse(Id, {.Status = StatusServiceUnavailable,
                      .Reason = "the node holds too many bytes"});
    return;
  }
  this->processReceived(Id);
}

void HttpServer::updateBufferedBytes(ClientConnection &Client) {
  this->BufferedBytes -= Client.BufferedBytes;
  Client.BufferedBytes =
      Client.Pipeline.bufferedBytes() + Client.Connection->heldBytes();
  this->BufferedBytes += Client.BufferedBytes;
}

void HttpServer::removeConnection(ConnectionId Id) {
  const auto Found = this->Connections.find(Id);
  this->BufferedBytes -= Found->second->BufferedBytes;
  this->Connections.erase(Found);
}

void HttpServer::processReceived(ConnectionId Id) {
  while (this->startNextRequest(Id)) {
  }
  const auto Found = this->Connections.find(Id);
  if (Found == this->Connections.end())
    return;
  this->updateBufferedBytes(*Found->second);
  this->updateReading(*Found->second);
}

bool HttpServer::startNextRequest(ConnectionId Id) {
  const auto Found = this->Connections.find(Id);
  if (Found == this->Connections.end())
    return false;
  ClientConnection &Client = *Found->second;
  if (this->mustWaitForClient(Client))
    return false;
  if (const std::optional<RequestFault> Fault = Client.Pipeline.fault()) {
    this->refuse(Id, *Fault);
    return false;
  }
  if (Client.Pipeline.takeContinue())
    Client.Connection->send(ContinueResponse);
  const ExchangeId Exchange(this->LastExchangeId + 1);
  const std::optional<StartedRequest> Started =
      Client.Pipeline.startNext(Exchange);
  if (!Started)
    return false;
  this->LastExchangeId += 1;
  this->Exchanges.emplace(Exchange, Id);
  this->updateBufferedBytes(Client);
  // The handler may respond, which may end the connection.
  this->Events.RequestReceived(Exchange, Started->Request, Started->ReceivedAt);
  return true;
}

void HttpServer::updateReading(ClientConnection &Client) const {
  const bool MustWait =
      Client.isBusy() && Client.Pipeline.hasPartialRequest() &&
      (Client.Pipeline.waitingBytes() > MaxWaitingBytes ||
       this->exceedsBufferLimit(Client) || this->mustWaitForClient(Client));
  if (Client.ReadEnabled != MustWait)
    return;
  Client.ReadEnabled = !MustWait;
  Client.Connection->setReadEnabled(Client.ReadEnabled);
}

void HttpServer::refuse(ConnectionId Id, const RequestFault &Fault) {
  ClientConnection &Client = *this->Connections.at(Id);
  this->Events.Malformed(makeError(Errc::BadSyntax, "read request",
                                   Client.Connection->remote().str(),
                                   Fault.Reason));
  const HttpResponse Response{.Status = Fault.Status,
                              .Headers = {},
                              .Body = Fault.Reason + "\n",
                              .CloseConnection = true};
  Client.Connection->send(encodeResponse(Response, false, false));
  this->closeGracefully(Id);
}

void HttpServer::closeGracefully(ConnectionId Id) {
  const auto Found = this->Connections.find(Id);
  const std::vector<ExchangeId> Unanswered =
      Found->second->Pipeline.unanswered();
  std::unique_ptr<TcpConnection> Ended = std::move(Found->second->Connection);
  this->removeConnection(Id);
  this->Closing.add(std::move(Ended));
  this->abortRequests(Unanswered);
}

void HttpServer::abortRequests(const std::vector<ExchangeId> &Aborted) {
  for (const ExchangeId Exchange : Aborted)
    if (this->Exchanges.erase(Exchange) > 0)
      this->Events.Aborted(Exchange);
}

void HttpServer::respond(ExchangeId Exchange, HttpResponse Response) {
  const auto Found = this->Exchanges.find(Exchange);
  if (Found == this->Exchanges.end())
    return;
  const ConnectionId Id = Found->second;
  this->Exchanges.erase(Found);
  this->Connections.at(Id)->Pipeline.setResponse(Exchange, std::move(Response));
  this->sendResponses(Id);
}

void HttpServer::sendResponses(ConnectionId Id) {
  ClientConnection &Client = *this->Connections.at(Id);
  while (auto Response = Client.Pipeline.takeResponse()) {
    Client.Connection->sendOwned(std::move(Response->Bytes));
    if (Response->Close) {
      this->closeGracefully(Id);
      return;
    }
    Client.LastResponseTime = Task::now();
    Client.LastActivityTime = Client.LastResponseTime;
  }
  this->updateBufferedBytes(Client);
  if (this->isOverBufferLimit()) {
    // May end this connection, which is destroyed only after its handlers.
    this->Owner.post([this] { this->releaseBuffers(Task::now()); });
  }
  this->updateReading(Client);
  // Posted, since a request that is refused at once is answered while it
  // starts.
  if (Client.Pipeline.hasPartialRequest())
    this->Owner.post([this, Id] { this->processReceived(Id); });
}

void HttpServer::onClosed(ConnectionId Id) {
  const auto Found = this->Connections.find(Id);
  if (Found == this->Connections.end())
    return;
  const std::vector<ExchangeId> Unanswered =
      Found->second->Pipeline.unanswered();
  // Destroyed only after the requests were reported as aborted.
  const std::unique_ptr<TcpConnection> Closed =
      std::move(Found->second->Connection);
  this->removeConnection(Id);
  this->abortRequests(Unanswered);
}

void HttpServer::checkTimeouts() {
  std::vector<ConnectionId> Ids;
  Ids.reserve(this->Connections.size());
  for (const auto &[Id, Client] : this->Connections)
    Ids.push_back(Id);
  const TimePoint Now = Task::now();
  for (const ConnectionId Id : Ids) {
    this->checkSending(Id, Now);
    this->checkTimeout(Id, Now);
  }
  this->releaseBuffers(Now);
  if (!this->Connections.empty())
    this->TimeoutTimer.start(TimeoutCheckPeriod);
}

size_t HttpServer::bufferedBytes() const {
  return this->BufferedBytes + this->Closing.queuedBytes();
}

size_t HttpServer::undeliveredCount() {
  const TimePoint Now = Task::now();
  size_t Count = this->Closing.undeliveredCount();
  for (const auto &[Id, Client] : this->Connections) {
    SendProgress &Progress = Client->Progress;
    if (Progress.mayBeIncomplete(*Client->Connection))
      Progress.update(*Client->Connection, Now);
    Count += Progress.undeliveredBytes() > 0 ? 1 : 0;
  }
  return Count;
}

void HttpServer::checkTimeout(ConnectionId Id, TimePoint Now) {
  const auto Found = this->Connections.find(Id);
  if (Found == this->Connections.end() ||
      Found->second->Pipeline.hasOpenRequests())
    return;
  const ClientConnection &Client = *Found->second;
  const HttpServerLimits &Limits = this->Options.Limits;
  const bool Started = Client.Pipeline.hasPartialRequest();
  const TimePoint HeaderStart =
      std::max(Client.Pipeline.requestStart(), Client.LastResponseTime);
  const bool HeaderTimedOut = Started && !Client.Pipeline.isHeaderComplete() &&
                              Now - HeaderStart > Limits.HeaderTimeout;
  const bool Idle = Now - Client.LastActivityTime > Limits.IdleTimeout;
  if (HeaderTimedOut || (Idle && Started))
    this->refuse(Id, {.Status = StatusRequestTimeout,
                      .Reason = "the request took too long to arrive"});
  else if (Idle)
    this->closeGracefully(Id);
}

} // namespace bluebellbarrow
