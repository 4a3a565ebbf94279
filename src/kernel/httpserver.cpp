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
struct HttpServer::Client {
  Client(const HttpLimits &Limits)
      : Parser(HttpParser::Kind::Request, Limits) {}

  std::unique_ptr<TcpConnection> Connection;
  HttpParser Parser;

  /** The request that is being answered; 0 for none. */
  ExchangeId Current;

  /** When the first byte of the current request came. */
  TimePoint Began;

  TimePoint LastByte;

  /** Bytes counted in HttpServer::Held. */
  size_t Held = 0;

  bool HeadSeen = false;
};

HttpServer::HttpServer(Task &Owner, HttpServerOptions NewOptions,
                       HttpServerEvents Events)
    : Owner(Owner), Options(std::move(NewOptions)), Events(std::move(Events)),
      Sweep(Owner, [this] { this->sweep(); }) {
  auto New = std::make_unique<TcpListener>(
      Owner, this->Options.Local, [this](int Socket) { this->accept(Socket); });
  if (New->listening())
    this->Listener = std::move(New);
}

HttpServer::~HttpServer() = default;

void HttpServer::setLimits(const HttpServerLimits &New) {
  this->Options.Limits = New;
  for (const auto &[Id, Each] : this->Clients)
    Each->Parser.setLimits(New.Message);
}

void HttpServer::accept(int Socket) {
  if (this->Clients.size() >= this->Options.MaxConnections) {
    close(Socket);
    this->Events.Malformed(makeError(Errc::TooLarge, "accept connection",
                                     this->Options.Name,
                                     "too many connections"));
    return;
  }
  if (this->Clients.empty())
    this->Sweep.start(SweepPeriod);
  const ClientId Id = ++this->LastClient;
  auto New = std::make_unique<Client>(this->Options.Limits.Message);
  New->LastByte = Task::now();
  New->Connection = std::make_unique<TcpConnection>(
      this->Owner, Socket,
      TcpEvents{
          .Connected = nullptr,
          .Received =
              [this, Id](std::string_view Bytes) { this->receive(Id, Bytes); },
          .Ended = [this, Id](TcpEnd) { this->onEnded(Id); },
          .Drained = nullptr});
  this->Clients.emplace(Id, std::move(New));
}

void HttpServer::receive(ClientId Id, std::string_view Bytes) {
  Client &From = *this->Clients.at(Id);
  const TimePoint Now = Task::now();
  this->LastReceived = Now;
  From.LastByte = Now;
  if (!From.Parser.begun())
    From.Began = Now;
  From.Parser.feed(Bytes);
  this->countHeld(From);
  if (From.Current.value() == 0 && this->holdsTooMuch(From)) {
    this->refuse(Id, StatusNotRun, "the node holds too many bytes");
    return;
  }
  if (From.Current.value() == 0)
    this->advance(Id);
  else if (From.Parser.surplus() > MaxAheadBytes)
    From.Connection->setReading(false);
}

void HttpServer::countHeld(Client &Of) {
  this->Held -= Of.Held;
  Of.Held = Of.Parser.held();
  this->Held += Of.Held;
}

bool HttpServer::holdsTooMuch(const Client &Of) const {
  return this->Held > this->Options.Limits.MaxHeldBytes &&
         Of.Held > SmallRequestBytes;
}

void HttpServer::forget(ClientId Id) {
  const auto Found = this->Clients.find(Id);
  this->Held -= Found->second->Held;
  this->Clients.erase(Found);
}

void HttpServer::onHead(Client &From) {
  From.HeadSeen = true;
  const std::string_view Expected =
      headerValue(From.Parser.request().Headers, "expect");
  if (!From.Parser.whole() && sameHeaderName(Expected, "100-continue"))
    From.Connection->send(ContinueBytes);
}

void HttpServer::advance(ClientId Id) {
  Client &From = *this->Clients.at(Id);
  const HttpFault Fault = From.Parser.fault();
  if (Fault != HttpFault::None) {
    this->refuse(Id, faultStatus(Fault), faultText(Fault));
    return;
  }
  if (From.Parser.headRead() && !From.HeadSeen)
    this->onHead(From);
  if (!From.Parser.whole())
    return;
  const HttpRequest &Request = From.Parser.request();
  if (Request.Target.empty() || Request.Target.front() != '/') {
    this->refuse(Id, faultStatus(HttpFault::BadSyntax),
                 "the request target is not a path");
    return;
  }
  From.Current = ExchangeId(++this->LastExchange);
  this->Exchanges.emplace(From.Current, Id);
  this->Events.Requested(From.Current, Request, From.Connection->remote());
}

void HttpServer::refuse(ClientId Id, int Status, const std::string &Reason) {
  Client &From = *this->Clients.at(Id);
  this->Events.Malformed(makeError(Errc::BadSyntax, "read request",
                                   From.Connection->remote().text(), Reason));
  const HttpResponse Answer{
      .Status = Status, .Headers = {}, .Body = Reason + "\n", .Close = true};
  From.Connection->send(responseBytes(Answer, false, false));
  this->closeAfterAnswer(Id);
}

void HttpServer::closeAfterAnswer(ClientId Id) {
  const auto Found = this->Clients.find(Id);
  std::unique_ptr<TcpConnection> Closing = std::move(Found->second->Connection);
  this->forget(Id);
  TcpConnection::closeGently(this->Owner, std::move(Closing));
}

void HttpServer::respond(ExchangeId Exchange, HttpResponse Response) {
  const auto Known = this->Exchanges.find(Exchange);
  if (Known == this->Exchanges.end())
    return;
  const ClientId Id = Known->second;
  this->Exchanges.erase(Known);
  Client &To = *this->Clients.at(Id);
  const bool ToHead = To.Parser.request().Method == "HEAD";
  Response.Close = Response.Close || this->Leaving || !To.Parser.keepsAlive();
  To.Connection->send(responseBytes(Response, ToHead, To.Parser.isOld()));
  if (Response.Close) {
    this->closeAfterAnswer(Id);
    return;
  }
  To.Current = ExchangeId();
  To.HeadSeen = false;
  To.LastByte = Task::now();
  To.Began = To.LastByte;
  To.Parser.next();
  this->countHeld(To);
  To.Connection->setReading(true);
  if (To.Parser.begun())
    this->Owner.post([this, Id] {
      const auto Found = this->Clients.find(Id);
      if (Found != this->Clients.end() && Found->second->Current.value() == 0)
        this->advance(Id);
    });
}

void HttpServer::onEnded(ClientId Id) {
  const auto Found = this->Clients.find(Id);
  if (Found == this->Clients.end())
    return;
  const ExchangeId Current = Found->second->Current;
  // Closed only after its request was reported as aborted.
  const std::unique_ptr<TcpConnection> Gone =
      std::move(Found->second->Connection);
  this->forget(Id);
  if (this->Exchanges.erase(Current) > 0)
    this->Events.Aborted(Current);
}

void HttpServer::sweep() {
  std::vector<ClientId> All;
  All.reserve(this->Clients.size());
  for (const auto &[Id, Each] : this->Clients)
    All.push_back(Id);
  const TimePoint Now = Task::now();
  for (const ClientId Id : All)
    this->checkTime(Id, Now);
  if (!this->Clients.empty())
    this->Sweep.start(SweepPeriod);
}

void HttpServer::checkTime(ClientId Id, TimePoint Now) {
  const auto Found = this->Clients.find(Id);
  if (Found == this->Clients.end() || Found->second->Current.value() != 0)
    return;
  const Client &Each = *Found->second;
  const HttpServerLimits &Limits = this->Options.Limits;
  const bool Begun = Each.Parser.begun();
  const bool HeadLate =
      Begun && !Each.Parser.headRead() && Now - Each.Began > Limits.HeaderTime;
  const bool Idle = Now - Each.LastByte > Limits.IdleTime;
  if (HeadLate || (Idle && Begun))
    this->refuse(Id, StatusTimeout, "the request took too long to arrive");
  else if (Idle)
    this->closeAfterAnswer(Id);
}

} // namespace bluebellbarrow
