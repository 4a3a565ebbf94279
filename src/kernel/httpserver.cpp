#include "httpserver.h"

#include "httpheaders.h"
#include "task.h"

#include <libwebsockets.h>

#include <array>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace bluebellbarrow {

/** Kept by the library for each connection, in zeroed memory. */
struct HttpServer::Connection {
  /** The request being read or answered; 0 for none. */
  uint64_t Current;
};

struct HttpServer::Exchange {
  lws *Wsi = nullptr;
  HttpRequest Request;
  HttpResponse Response;
  bool Whole = false;
  bool Answered = false;
};

namespace {

constexpr size_t MaxHeaderBytes = size_t{16} * 1024;

struct MethodToken {
  lws_token_indexes Token;
  const char *Name;
};

constexpr std::array<MethodToken, 5> Methods = {{
    {WSI_TOKEN_GET_URI, "GET"},
    {WSI_TOKEN_POST_URI, "POST"},
    {WSI_TOKEN_PUT_URI, "PUT"},
    {WSI_TOKEN_PATCH_URI, "PATCH"},
    {WSI_TOKEN_DELETE_URI, "DELETE"},
}};

std::string methodOf(lws *Wsi) {
  for (const MethodToken &Each : Methods)
    if (lws_hdr_total_length(Wsi, Each.Token) > 0)
      return Each.Name;
  return "";
}

Address peerOf(lws *Wsi) {
  std::array<char, 64> Name{};
  lws_get_peer_simple(Wsi, Name.data(), Name.size());
  return Address(Name.data());
}

int onEvent(lws *Wsi, lws_callback_reasons Reason, void *User, void *In,
            size_t Length) {
  lws_vhost *Vhost = lws_get_vhost(Wsi);
  auto *Server = Vhost == nullptr
                     ? nullptr
                     : static_cast<HttpServer *>(lws_vhost_user(Vhost));
  if (Server == nullptr || User == nullptr)
    return 0;
  return Server->handleEvent(Wsi, Reason, User, In, Length);
}

const std::array<lws_protocols, 2> Protocols = {{
    {"http", onEvent, sizeof(uint64_t), 16384, 0, nullptr, 0},
    {nullptr, nullptr, 0, 0, 0, nullptr, 0},
}};

bool addHeader(lws *Wsi, const HttpHeader &Header, unsigned char **Position,
               unsigned char *End) {
  const std::string Name = Header.Name + ":";
  return lws_add_http_header_by_name(
             Wsi, reinterpret_cast<const unsigned char *>(Name.c_str()),
             reinterpret_cast<const unsigned char *>(Header.Value.data()),
             static_cast<int>(Header.Value.size()), Position, End) == 0;
}

/** Writes status line and headers into \a Buffer; returns the end or null. */
unsigned char *formatHead(lws *Wsi, const HttpResponse &Response,
                          unsigned char *Buffer, unsigned char *End) {
  unsigned char *Position = Buffer;
  if (lws_add_http_header_status(
          Wsi, static_cast<unsigned int>(Response.Status), &Position, End) != 0)
    return nullptr;
  for (const HttpHeader &Header : Response.Headers)
    if (!addHeader(Wsi, Header, &Position, End))
      return nullptr;
  if (Response.Close &&
      !addHeader(Wsi, {"connection", "close"}, &Position, End))
    return nullptr;
  if (lws_add_http_header_content_length(Wsi, Response.Body.size(), &Position,
                                         End) != 0 ||
      lws_finalize_http_header(Wsi, &Position, End) != 0)
    return nullptr;
  return Position;
}

} // namespace

HttpServer::HttpServer(Task &Owner, HttpServerOptions Options,
                       HttpServerEvents Events)
    : Owner(Owner), Options(std::move(Options)), Events(std::move(Events)) {
  lws_context_creation_info Info{};
  Info.port = this->Options.Port;
  Info.iface = this->Options.Ip.str().c_str();
  Info.vhost_name = this->Options.Name.c_str();
  Info.protocols = Protocols.data();
  Info.user = this;
  Info.server_string = "bluebellbarrow";
  Info.options = LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND |
                 LWS_SERVER_OPTION_DISABLE_IPV6;
  this->Vhost = lws_create_vhost(Owner.context(), &Info);
}

HttpServer::~HttpServer() {
  if (this->Vhost != nullptr && !this->Owner.closed())
    lws_vhost_destroy(this->Vhost);
}

void HttpServer::respond(ExchangeId Id, HttpResponse Response) {
  const auto Found = this->Exchanges.find(Id);
  if (Found == this->Exchanges.end())
    return;
  Exchange &Open = *Found->second;
  Open.Response = std::move(Response);
  Open.Answered = true;
  lws_callback_on_writable(Open.Wsi);
}

int HttpServer::begin(lws *Wsi, Connection &Client, const char *Path,
                      size_t Length) {
  const int On = 1;
  setsockopt(lws_get_socket_fd(Wsi), IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
  Client.Current = ++this->LastExchange;
  auto New = std::make_unique<Exchange>();
  New->Wsi = Wsi;
  New->Request.Method = methodOf(Wsi);
  New->Request.Target = requestTarget(Wsi, {Path, Length});
  New->Request.Headers = collectHeaders(Wsi, this->Options.CustomHeaders);
  const std::string Method = New->Request.Method;
  this->Exchanges.emplace(ExchangeId(Client.Current), std::move(New));
  if (Method.empty())
    return this->refuse(Wsi, Client, 501, "method is not supported");
  if (lws_hdr_total_length(Wsi, WSI_TOKEN_HTTP_TRANSFER_ENCODING) > 0)
    return this->refuse(Wsi, Client, 411, "request body has no length");

  const bool HasLength =
      lws_hdr_total_length(Wsi, WSI_TOKEN_HTTP_CONTENT_LENGTH) > 0;
  const bool MayHaveBody = Method != "GET" && Method != "DELETE";
  if (MayHaveBody && !HasLength)
    return this->refuse(Wsi, Client, 411, "request body has no length");
  if (!MayHaveBody)
    this->finishRequest(Wsi, Client);
  return 0;
}

int HttpServer::refuse(lws *Wsi, Connection &Client, int Status,
                       const char *Reason) {
  this->Events.Malformed(
      makeError(Errc::BadFrame, "read request", peerOf(Wsi).str(), Reason));
  lws_set_timeout(Wsi, NO_PENDING_TIMEOUT, 0);
  this->respond(
      ExchangeId(Client.Current),
      {.Status = Status,
       .Headers = {{header::Outcome, "not-run"}, {header::Reason, Reason}},
       .Body = std::string(Reason) + "\n",
       .Close = true});
  return 0;
}

int HttpServer::appendBody(Connection &Client, const char *Data,
                           size_t Length) {
  const auto Found = this->Exchanges.find(ExchangeId(Client.Current));
  if (Found == this->Exchanges.end() || Found->second->Answered)
    return 0;
  std::string &Body = Found->second->Request.Body;
  if (Body.size() + Length > this->Options.MaxBodyBytes)
    return this->refuse(Found->second->Wsi, Client, 413,
                        "request body is too large");
  Body.append(Data, Length);
  return 0;
}

void HttpServer::finishRequest(lws *Wsi, Connection &Client) {
  const ExchangeId Id(Client.Current);
  const auto Found = this->Exchanges.find(Id);
  if (Found == this->Exchanges.end() || Found->second->Answered)
    return;
  lws_set_timeout(Wsi, NO_PENDING_TIMEOUT, 0);
  Found->second->Whole = true;
  const HttpRequest Request = std::move(Found->second->Request);
  this->Events.Requested(Id, Request, peerOf(Wsi));
}

int HttpServer::write(lws *Wsi, Connection &Client) {
  const auto Found = this->Exchanges.find(ExchangeId(Client.Current));
  if (Found == this->Exchanges.end() || !Found->second->Answered)
    return 0;
  const std::unique_ptr<Exchange> Done = std::move(Found->second);
  this->Exchanges.erase(Found);
  Client.Current = 0;

  const HttpResponse &Response = Done->Response;
  std::string Buffer(LWS_PRE + MaxHeaderBytes, '\0');
  auto *Start = reinterpret_cast<unsigned char *>(Buffer.data() + LWS_PRE);
  const unsigned char *End =
      formatHead(Wsi, Response, Start, Start + MaxHeaderBytes);
  if (End == nullptr)
    return -1;
  const auto HeadBytes = static_cast<size_t>(End - Start);
  Buffer.resize(LWS_PRE + HeadBytes);
  Buffer += Response.Body;
  Start = reinterpret_cast<unsigned char *>(Buffer.data() + LWS_PRE);
  if (lws_write(Wsi, Start, HeadBytes + Response.Body.size(),
                LWS_WRITE_HTTP_FINAL) < 0)
    return -1;
  if (lws_http_transaction_completed(Wsi) != 0)
    return -1;
  return Response.Close ? -1 : 0;
}

void HttpServer::abort(Connection &Client) {
  const ExchangeId Id(Client.Current);
  const auto Found = this->Exchanges.find(Id);
  if (Found == this->Exchanges.end())
    return;
  const bool Whole = Found->second->Whole;
  this->Exchanges.erase(Found);
  Client.Current = 0;
  if (Whole)
    this->Events.Aborted(Id);
}

int HttpServer::handleEvent(lws *Wsi, int Reason, void *User, void *In,
                            size_t Length) {
  if (this->Owner.closed())
    return 0;
  auto &Client = *static_cast<Connection *>(User);
  const auto *Data = static_cast<const char *>(In);
  switch (Reason) {
  case LWS_CALLBACK_HTTP:
    return this->begin(Wsi, Client, Data, Length);
  case LWS_CALLBACK_HTTP_BODY:
    return this->appendBody(Client, Data, Length);
  case LWS_CALLBACK_HTTP_BODY_COMPLETION:
    this->finishRequest(Wsi, Client);
    return 0;
  case LWS_CALLBACK_HTTP_WRITEABLE:
    return this->write(Wsi, Client);
  case LWS_CALLBACK_CLOSED_HTTP:
    this->abort(Client);
    return 0;
  default:
    return 0;
  }
}

} // namespace bluebellbarrow
