#include "frametransport.h"

#include "task.h"
#include "tcplistener.h"

namespace bluebellbarrow {

struct FrameTransport::Stream {
  FrameReader Reader;
  std::unique_ptr<TcpConnection> Connection;

  /** Bytes received so far. */
  uint64_t ReceivedBytes = 0;

  /** Accepts no more frames and is removed once its queue is empty. */
  bool Closing = false;
};

FrameTransport::FrameTransport(Task &Owner, FrameTransportOptions NewOptions,
                               FrameEvents Events)
    : Owner(Owner), Options(std::move(NewOptions)), Events(std::move(Events)) {
  if (this->Options.ListenPort == 0)
    return;
  auto NewListener = std::make_unique<TcpListener>(
      Owner,
      Endpoint{.Ip = this->Options.LocalIp, .Port = this->Options.ListenPort},
      [this](int Socket) { this->accept(Socket); });
  if (NewListener->isListening())
    this->Listener = std::move(NewListener);
}

FrameTransport::~FrameTransport() = default;

FrameTransport::Stream &FrameTransport::addStream(StreamId Id) {
  auto NewStream = std::make_unique<Stream>(
      Stream{.Reader = FrameReader(this->Options.MaxFrameBytes)});
  return *this->Streams.emplace(Id, std::move(NewStream)).first->second;
}

TcpEvents FrameTransport::makeTcpEvents(StreamId Id) {
  return {.Connected = [this, Id] { this->Events.Connected(Id); },
          .Received =
              [this, Id](std::string_view Bytes) { this->receive(Id, Bytes); },
          .Closed = [this, Id](TcpCloseReason) { this->removeStream(Id); },
          .Drained = [this, Id] { this->onDrained(Id); }};
}

StreamId FrameTransport::connect(const Address &Peer, int Port) {
  const StreamId Id(++this->LastStreamId);
  Stream &New = this->addStream(Id);
  New.Connection = std::make_unique<TcpConnection>(
      this->Owner,
      TcpConnectOptions{.LocalIp = this->Options.LocalIp,
                        .Remote = {.Ip = Peer, .Port = Port}},
      this->makeTcpEvents(Id));
  return Id;
}

void FrameTransport::accept(int Socket) {
  const StreamId Id(++this->LastStreamId);
  Stream &New = this->addStream(Id);
  New.Connection = std::make_unique<TcpConnection>(this->Owner, Socket,
                                                   this->makeTcpEvents(Id));
  this->Events.Accepted(Id, New.Connection->remote().Ip);
}

bool FrameTransport::send(StreamId Id, const Frame &Value) {
  Stream *Target = this->findStream(Id);
  if (Target == nullptr || Target->Closing)
    return false;
  TcpConnection &Connection = *Target->Connection;
  if (Connection.queuedBytes() + Value.Body.size() >
      this->Options.MaxQueuedBytes)
    return false;
  Connection.send(encodeFrame(Value));
  return true;
}

void FrameTransport::close(StreamId Id) {
  Stream *Target = this->findStream(Id);
  if (Target == nullptr || Target->Closing)
    return;
  Target->Closing = true;
  if (Target->Connection->queuedBytes() == 0)
    this->Owner.post([this, Id] { this->removeStream(Id); });
}

void FrameTransport::abort(StreamId Id) {
  Stream *Target = this->findStream(Id);
  if (Target == nullptr)
    return;
  Target->Closing = true;
  this->Owner.post([this, Id] { this->removeStream(Id); });
}

uint64_t FrameTransport::progressBytes(StreamId Id) const {
  const Stream *Target = this->findStream(Id);
  return Target == nullptr
             ? 0
             : Target->ReceivedBytes + Target->Connection->drainedBytes();
}

Address FrameTransport::peerAddress(StreamId Id) const {
  const Stream *Target = this->findStream(Id);
  return Target == nullptr ? Address() : Target->Connection->remote().Ip;
}

FrameTransport::Stream *FrameTransport::findStream(StreamId Id) const {
  const auto Found = this->Streams.find(Id);
  return Found == this->Streams.end() ? nullptr : Found->second.get();
}

void FrameTransport::receive(StreamId Id, std::string_view Bytes) {
  Stream *Source = this->findStream(Id);
  Source->ReceivedBytes += Bytes.size();
  Source->Reader.feed(Bytes);
  while (const std::optional<Frame> Next = Source->Reader.next()) {
    this->Events.Received(Id, *Next);
    Source = this->findStream(Id);
    if (Source == nullptr || Source->Closing)
      return;
  }
  if (!Source->Reader.isBroken())
    return;
  this->Events.Malformed(Id,
                         makeError(Errc::BadFrame, "read frame",
                                   Source->Connection->remote().str(),
                                   "frame length is zero or over the limit"));
  this->close(Id);
}

void FrameTransport::onDrained(StreamId Id) {
  const Stream *Target = this->findStream(Id);
  if (Target != nullptr && Target->Closing)
    this->Owner.post([this, Id] { this->removeStream(Id); });
}

void FrameTransport::removeStream(StreamId Id) {
  const auto Found = this->Streams.find(Id);
  if (Found == this->Streams.end())
    return;
  std::unique_ptr<Stream> Closed = std::move(Found->second);
  this->Streams.erase(Found);
  TcpConnection::closeGracefully(this->Owner, std::move(Closed->Connection));
  this->Events.Closed(Id);
}

} // namespace bluebellbarrow
