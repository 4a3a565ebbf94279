#include "frametransport.h"

#include "task.h"

#include <libwebsockets.h>

#include <array>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace bluebellbarrow {

namespace {

int onEvent(lws *Wsi, lws_callback_reasons Reason, void *, void *In,
            size_t Length) {
  lws_vhost *Vhost = lws_get_vhost(Wsi);
  auto *Transport = Vhost == nullptr
                        ? nullptr
                        : static_cast<FrameTransport *>(lws_vhost_user(Vhost));
  return Transport == nullptr ? 0
                              : Transport->handleEvent(Wsi, Reason, In, Length);
}

const std::array<lws_protocols, 2> Protocols = {{
    {"frames", onEvent, 0, 16384, 0, nullptr, 0},
    {nullptr, nullptr, 0, 0, 0, nullptr, 0},
}};

void disableNagle(lws *Wsi) {
  const int On = 1;
  setsockopt(lws_get_socket_fd(Wsi), IPPROTO_TCP, TCP_NODELAY, &On, sizeof(On));
}

} // namespace

struct FrameTransport::Stream {
  StreamId Id;
  lws *Wsi = nullptr;
  Address Peer;
  FrameReader Reader;
  std::string Queue;
  bool Ready = false;
  bool Closing = false;
};

FrameTransport::FrameTransport(Task &Owner, FrameTransportOptions Options,
                               FrameEvents Events)
    : Owner(Owner), Options(std::move(Options)), Events(std::move(Events)) {
  lws_context_creation_info Info{};
  Info.port =
      this->Options.Port == 0 ? CONTEXT_PORT_NO_LISTEN : this->Options.Port;
  if (!this->Options.Ip.empty())
    Info.iface = this->Options.Ip.str().c_str();
  Info.vhost_name = this->Options.Name.c_str();
  Info.protocols = Protocols.data();
  Info.user = this;
  Info.options = LWS_SERVER_OPTION_ADOPT_APPLY_LISTEN_ACCEPT_CONFIG |
                 LWS_SERVER_OPTION_DISABLE_IPV6 |
                 LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND;
  Info.listen_accept_role = "raw-skt";
  Info.listen_accept_protocol = "frames";
  this->Vhost = lws_create_vhost(Owner.context(), &Info);
}

FrameTransport::~FrameTransport() {
  if (this->Vhost != nullptr && !this->Owner.closed())
    lws_vhost_destroy(this->Vhost);
}

FrameTransport::Stream &FrameTransport::addStream(const Address &Peer) {
  const StreamId Id(++this->LastStream);
  auto New = std::make_unique<Stream>(
      Stream{.Id = Id,
             .Peer = Peer,
             .Reader = FrameReader(this->Options.MaxFrameBytes)});
  return *this->Streams.emplace(Id, std::move(New)).first->second;
}

StreamId FrameTransport::connect(const Address &Peer, int Port) {
  Stream &New = this->addStream(Peer);
  const StreamId Id = New.Id;
  lws_client_connect_info Info{};
  Info.context = this->Owner.context();
  Info.vhost = this->Vhost;
  Info.address = Peer.str().c_str();
  Info.port = Port;
  Info.host = Info.address;
  Info.method = "RAW";
  Info.local_protocol_name = "frames";
  if (!this->Options.Ip.empty())
    Info.iface = this->Options.Ip.str().c_str();
  Info.opaque_user_data = &New;
  lws *Wsi = lws_client_connect_via_info(&Info);
  Stream *Current = this->find(Id);
  if (Current != nullptr && Wsi != nullptr)
    Current->Wsi = Wsi;
  if (Wsi == nullptr)
    this->Owner.post([this, Id] { this->drop(Id); });
  return Id;
}

bool FrameTransport::send(StreamId Id, const Frame &Value) {
  Stream *Target = this->find(Id);
  if (Target == nullptr || Target->Closing)
    return false;
  if (Target->Queue.size() + Value.Body.size() > this->Options.MaxQueuedBytes)
    return false;
  const std::string Bytes = frameBytes(Value);
  const size_t Sent = this->sendNow(*Target, Bytes);
  Target->Queue.append(Bytes, Sent);
  if (Target->Ready && !Target->Queue.empty())
    lws_callback_on_writable(Target->Wsi);
  return true;
}

size_t FrameTransport::sendNow(const Stream &Target, const std::string &Bytes) {
  if (!Target.Ready || !Target.Queue.empty())
    return 0;
  const ssize_t Sent = ::send(lws_get_socket_fd(Target.Wsi), Bytes.data(),
                              Bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  const size_t Count = Sent > 0 ? static_cast<size_t>(Sent) : 0;
  this->BytesSent += Count;
  return Count;
}

void FrameTransport::close(StreamId Id) {
  Stream *Target = this->find(Id);
  if (Target == nullptr)
    return;
  Target->Closing = true;
  if (Target->Ready)
    lws_callback_on_writable(Target->Wsi);
}

Address FrameTransport::peer(StreamId Id) const {
  const Stream *Target = this->find(Id);
  return Target == nullptr ? Address() : Target->Peer;
}

FrameTransport::Stream *FrameTransport::find(StreamId Id) const {
  const auto Found = this->Streams.find(Id);
  return Found == this->Streams.end() ? nullptr : Found->second.get();
}

FrameTransport::Stream *FrameTransport::streamOf(lws *Wsi) {
  return static_cast<Stream *>(lws_get_opaque_user_data(Wsi));
}

int FrameTransport::accept(lws *Wsi) {
  std::array<char, 64> Name{};
  lws_get_peer_simple(Wsi, Name.data(), Name.size());
  disableNagle(Wsi);
  Stream &New = this->addStream(Address(Name.data()));
  New.Wsi = Wsi;
  New.Ready = true;
  lws_set_opaque_user_data(Wsi, &New);
  this->Events.Accepted(New.Id, New.Peer);
  return 0;
}

int FrameTransport::receive(lws *Wsi, const char *Data, size_t Length) {
  Stream *Source = this->streamOf(Wsi);
  if (Source == nullptr)
    return -1;
  this->BytesReceived += Length;
  const StreamId Id = Source->Id;
  Source->Reader.feed({Data, Length});
  while (const std::optional<Frame> Next = Source->Reader.next()) {
    this->Events.Received(Id, *Next);
    Source = this->find(Id);
    if (Source == nullptr)
      return -1;
  }
  if (!Source->Reader.broken())
    return 0;
  this->Events.Malformed(Id, makeError(Errc::BadFrame, "read frame",
                                       Source->Peer.str(),
                                       "length outside the limit"));
  return -1;
}

int FrameTransport::write(lws *Wsi) {
  Stream *Target = this->streamOf(Wsi);
  if (Target == nullptr)
    return -1;
  if (!Target->Queue.empty()) {
    std::string Buffer(LWS_PRE, '\0');
    Buffer += Target->Queue;
    const size_t Length = Target->Queue.size();
    Target->Queue.clear();
    auto *Start = reinterpret_cast<unsigned char *>(Buffer.data() + LWS_PRE);
    if (lws_write(Wsi, Start, Length, LWS_WRITE_RAW) < 0)
      return -1;
    this->BytesSent += Length;
    if (Target->Closing)
      lws_callback_on_writable(Wsi);
    return 0;
  }
  return Target->Closing ? -1 : 0;
}

void FrameTransport::detach(Stream &Gone) {
  Gone.Ready = false;
  Gone.Closing = true;
  Gone.Wsi = nullptr;
  this->Owner.post([this, Id = Gone.Id] { this->drop(Id); });
}

void FrameTransport::drop(StreamId Id) {
  if (this->Streams.erase(Id) > 0)
    this->Events.Closed(Id);
}

int FrameTransport::handleEvent(lws *Wsi, int Reason, void *In, size_t Length) {
  if (this->Owner.closed())
    return 0;
  Stream *Known = this->streamOf(Wsi);
  switch (Reason) {
  case LWS_CALLBACK_RAW_ADOPT:
    return Known == nullptr ? this->accept(Wsi) : 0;
  case LWS_CALLBACK_RAW_CONNECTED:
    if (Known == nullptr)
      return -1;
    disableNagle(Wsi);
    Known->Wsi = Wsi;
    Known->Ready = true;
    this->Events.Connected(Known->Id);
    lws_callback_on_writable(Wsi);
    return 0;
  case LWS_CALLBACK_RAW_RX:
    return this->receive(Wsi, static_cast<const char *>(In), Length);
  case LWS_CALLBACK_RAW_WRITEABLE:
    return this->write(Wsi);
  case LWS_CALLBACK_RAW_CLOSE:
  case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
    if (Known != nullptr)
      this->detach(*Known);
    lws_set_opaque_user_data(Wsi, nullptr);
    return 0;
  default:
    return 0;
  }
}

} // namespace bluebellbarrow
