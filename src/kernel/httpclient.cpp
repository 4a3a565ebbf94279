#include "httpclient.h"

#include "httpheaders.h"
#include "task.h"

#include <libwebsockets.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <strings.h>
#include <sys/socket.h>
#include <utility>

namespace bluebellbarrow {

namespace {

constexpr uint16_t KeepWarmSeconds = 60;

} // namespace

/** One connection slot and the call that uses it. */
struct HttpClient::Slot {
  Slot(Task &Owner, const HttpClientOptions &Options, size_t Index);

  int handleEvent(lws *Wsi, int Reason, void *In, size_t Length);
  int handleOwnEvent(lws *Wsi, int Reason, void *In, size_t Length);
  int addRequestHeaders(lws *Wsi, void *In, size_t Length);
  int writeBody(lws *Wsi);
  void readHead(lws *Wsi);
  int append(const char *Data, size_t Length);
  void complete();
  void fail(const std::string &Cause);
  void finish(const CallResult &Result);

  Task &Owner;
  const HttpClientOptions &Options;
  std::string VhostName;
  lws_vhost *Vhost = nullptr;
  lws *Wsi = nullptr;

  /** Connection for which the library calls now. */
  lws *Serving = nullptr;

  Timer Deadline;

  bool Busy = false;
  bool Sent = false;
  bool Framed = false;
  bool Oversized = false;

  /** The library is told to close the connection. */
  bool Closing = false;

  bool Chunked = false;

  /** The server closes the connection after this answer. */
  bool LastAnswer = false;

  /** Nothing but the end of the stream was there to be read. */
  bool AtEnd = false;

  /** Announced length of the answer's body; negative when there is none. */
  int64_t ExpectedBytes = -1;

  HttpRequest Request;
  HttpResponse Response;
  std::string Cause;
  Done OnDone;
};

namespace {

int onEvent(lws *Wsi, lws_callback_reasons Reason, void *, void *In,
            size_t Length) {
  lws_vhost *Vhost = lws_get_vhost(Wsi);
  auto *Slot = Vhost == nullptr
                   ? nullptr
                   : static_cast<HttpClient::Slot *>(lws_vhost_user(Vhost));
  return Slot == nullptr ? 0 : Slot->handleEvent(Wsi, Reason, In, Length);
}

const std::array<lws_protocols, 2> Protocols = {{
    {"http", onEvent, 0, 16384, 0, nullptr, 0},
    {nullptr, nullptr, 0, 0, 0, nullptr, 0},
}};

bool atEndOfStream(lws *Wsi) {
  char Byte = 0;
  return recv(lws_get_socket_fd(Wsi), &Byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

bool mayHaveBody(const HttpRequest &Request) {
  return Request.Method != "GET" && Request.Method != "DELETE";
}

} // namespace

HttpClient::Slot::Slot(Task &Owner, const HttpClientOptions &Options,
                       size_t Index)
    : Owner(Owner), Options(Options),
      VhostName(Options.Name + "-" + std::to_string(Index)),
      Deadline(Owner, [this] { this->fail("timed out"); }) {
  lws_context_creation_info Info{};
  Info.port = CONTEXT_PORT_NO_LISTEN;
  Info.vhost_name = this->VhostName.c_str();
  Info.options = LWS_SERVER_OPTION_DISABLE_IPV6;
  Info.protocols = Protocols.data();
  Info.user = this;
  this->Vhost = lws_create_vhost(Owner.context(), &Info);
}

int HttpClient::Slot::addRequestHeaders(lws *Wsi, void *In, size_t Length) {
  this->Sent = true;
  auto **Position = static_cast<unsigned char **>(In);
  unsigned char *End = *Position + Length;
  for (const HttpHeader &Header : this->Request.Headers) {
    const std::string Name = Header.Name + ":";
    if (lws_add_http_header_by_name(
            Wsi, reinterpret_cast<const unsigned char *>(Name.c_str()),
            reinterpret_cast<const unsigned char *>(Header.Value.data()),
            static_cast<int>(Header.Value.size()), Position, End) != 0)
      return -1;
  }
  if (!mayHaveBody(this->Request))
    return 0;
  if (lws_add_http_header_content_length(Wsi, this->Request.Body.size(),
                                         Position, End) != 0)
    return -1;
  if (!this->Request.Body.empty()) {
    lws_client_http_body_pending(Wsi, 1);
    lws_callback_on_writable(Wsi);
  }
  return 0;
}

int HttpClient::Slot::writeBody(lws *Wsi) {
  if (this->Request.Body.empty())
    return 0;
  std::string Buffer(LWS_PRE, '\0');
  Buffer += this->Request.Body;
  const size_t Length = this->Request.Body.size();
  this->Request.Body.clear();
  lws_client_http_body_pending(Wsi, 0);
  auto *Start = reinterpret_cast<unsigned char *>(Buffer.data() + LWS_PRE);
  return lws_write(Wsi, Start, Length, LWS_WRITE_HTTP_FINAL) < 0 ? -1 : 0;
}

void HttpClient::Slot::readHead(lws *Wsi) {
  this->Response.Status = static_cast<int>(lws_http_client_http_response(Wsi));
  this->Response.Headers = collectHeaders(Wsi, this->Options.CustomHeaders);
  this->Chunked =
      lws_hdr_total_length(Wsi, WSI_TOKEN_HTTP_TRANSFER_ENCODING) > 0;
  std::array<char, 32> Text{};
  const int Length = lws_hdr_copy(Wsi, Text.data(), Text.size(),
                                  WSI_TOKEN_HTTP_CONTENT_LENGTH);
  if (Length > 0)
    std::from_chars(Text.data(), Text.data() + Length, this->ExpectedBytes);
  const int Close =
      lws_hdr_copy(Wsi, Text.data(), Text.size(), WSI_TOKEN_CONNECTION);
  this->LastAnswer = Close > 0 && strcasecmp(Text.data(), "close") == 0;
  const bool Bodiless =
      this->Response.Status == 204 || this->Response.Status == 304;
  this->Framed = this->Chunked || this->ExpectedBytes >= 0 || Bodiless;
}

int HttpClient::Slot::append(const char *Data, size_t Length) {
  this->Oversized =
      this->Response.Body.size() + Length > this->Options.MaxBodyBytes;
  if (this->Oversized)
    return -1;
  this->AtEnd = false;
  this->Response.Body.append(Data, Length);
  return 0;
}

void HttpClient::Slot::complete() {
  if (!this->Framed) {
    this->fail("answer has no length");
    return;
  }
  // The library also completes a chunked answer when the connection closes.
  if (this->Chunked && this->AtEnd) {
    this->fail("answer was cut");
    return;
  }
  const auto Length = static_cast<int64_t>(this->Response.Body.size());
  if (this->ExpectedBytes >= 0 && Length != this->ExpectedBytes) {
    this->fail("answer was cut");
    return;
  }
  this->Wsi = nullptr;
  this->Closing = this->LastAnswer;
  this->finish({.End = CallEnd::Answered,
                .Response = std::move(this->Response),
                .Cause = {}});
}

void HttpClient::Slot::fail(const std::string &Why) {
  if (!this->Busy)
    return;
  this->Closing = true;
  lws *Used = this->Wsi;
  this->Wsi = nullptr;
  this->finish({.End = this->Sent ? CallEnd::Broken : CallEnd::NotSent,
                .Response = {},
                .Cause = Why});
  if (Used == nullptr)
    return;
  // At once, unless the library is within a call for this connection, or the
  // next call would be queued on it.
  const bool Inside = Used == this->Serving;
  lws_set_timeout(Used, PENDING_TIMEOUT_USER_OK,
                  Inside ? LWS_TO_KILL_ASYNC : LWS_TO_KILL_SYNC);
}

void HttpClient::Slot::finish(const CallResult &Result) {
  this->Deadline.cancel();
  this->Busy = false;
  const Done Callback = std::move(this->OnDone);
  this->OnDone = nullptr;
  this->Owner.post([Callback, Result] { Callback(Result); });
}

int HttpClient::Slot::handleEvent(lws *From, int Reason, void *In,
                                  size_t Length) {
  if (this->Owner.closed() || !this->Busy ||
      (this->Wsi != nullptr && From != this->Wsi))
    return 0;
  lws *Outer = std::exchange(this->Serving, From);
  const int Result = this->handleOwnEvent(From, Reason, In, Length);
  this->Serving = Outer;
  return this->Closing ? -1 : Result;
}

int HttpClient::Slot::handleOwnEvent(lws *From, int Reason, void *In,
                                     size_t Length) {
  switch (Reason) {
  case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER: {
    const int On = 1;
    setsockopt(lws_get_socket_fd(From), IPPROTO_TCP, TCP_NODELAY, &On,
               sizeof(On));
    return this->addRequestHeaders(From, In, Length);
  }
  case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
    return this->writeBody(From);
  case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
    this->readHead(From);
    return 0;
  case LWS_CALLBACK_RECEIVE_CLIENT_HTTP: {
    std::array<char, LWS_PRE + 16384> Buffer;
    char *Start = Buffer.data() + LWS_PRE;
    int Available = static_cast<int>(Buffer.size() - LWS_PRE);
    this->AtEnd = atEndOfStream(From);
    return lws_http_client_read(From, &Start, &Available) < 0 ? -1 : 0;
  }
  case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
    return this->append(static_cast<const char *>(In), Length);
  case LWS_CALLBACK_COMPLETED_CLIENT_HTTP:
    this->complete();
    return 0;
  case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
  case LWS_CALLBACK_CLOSED_CLIENT_HTTP:
    this->Wsi = nullptr;
    this->fail(this->Oversized ? "answer is too large" : "connection closed");
    return 0;
  default:
    return 0;
  }
}

HttpClient::HttpClient(Task &Owner, HttpClientOptions Options)
    : Owner(Owner), Options(std::move(Options)) {
  for (size_t Index = 0; Index < this->Options.Slots; ++Index)
    this->Slots.push_back(std::make_unique<Slot>(Owner, this->Options, Index));
}

HttpClient::~HttpClient() {
  for (const auto &Each : this->Slots) {
    Each->Busy = false;
    if (!this->Owner.closed())
      lws_vhost_destroy(Each->Vhost);
  }
}

size_t HttpClient::busy() const {
  return static_cast<size_t>(
      std::count_if(this->Slots.begin(), this->Slots.end(),
                    [](const auto &Each) { return Each->Busy; }));
}

size_t HttpClient::call(const HttpRequest &Request, Duration Timeout,
                        Done OnDone) {
  const auto Free = std::find_if(this->Slots.begin(), this->Slots.end(),
                                 [](const auto &Each) { return !Each->Busy; });
  Slot &Chosen = **Free;
  Chosen.Busy = true;
  Chosen.Sent = false;
  Chosen.Framed = false;
  Chosen.Chunked = false;
  Chosen.Closing = false;
  Chosen.Oversized = false;
  Chosen.ExpectedBytes = -1;
  Chosen.Request = Request;
  Chosen.Response = HttpResponse();
  Chosen.OnDone = std::move(OnDone);
  Chosen.Deadline.start(Timeout);
  this->connect(Chosen);
  return static_cast<size_t>(Free - this->Slots.begin());
}

void HttpClient::connect(Slot &Free) {
  lws_client_connect_info Info{};
  Info.context = this->Owner.context();
  Info.vhost = Free.Vhost;
  Info.address = this->Options.Ip.str().c_str();
  Info.port = this->Options.Port;
  // The library finds an idle connection only when host and address agree.
  Info.host = Info.address;
  Info.path = Free.Request.Target.c_str();
  Info.method = Free.Request.Method.c_str();
  Info.alpn = "http/1.1";
  Info.ssl_connection = LCCSCF_PIPELINE | LCCSCF_HTTP_NO_FOLLOW_REDIRECT;
  Info.local_protocol_name = "http";
  Info.keep_warm_secs = KeepWarmSeconds;
  Info.pwsi = &Free.Wsi;
  if (!this->Options.LocalIp.empty())
    Info.iface = this->Options.LocalIp.str().c_str();
  Free.Wsi = nullptr;
  if (lws_client_connect_via_info(&Info) == nullptr && Free.Busy) {
    Free.Wsi = nullptr;
    Free.fail("can't connect");
  }
}

void HttpClient::cancel(size_t Index, const std::string &Cause) {
  this->Slots.at(Index)->fail(Cause);
}

} // namespace bluebellbarrow
