#include "frametransport.h"

#include "task.h"
#include "tcplistener.h"

namespace bluebellbarrow {

struct FrameTransport::Stream {
  FrameReader Reader;
  std::unique_ptr<TcpConnection> Connection;

  /** Bytes received so far. */
  uint64_t ReceivedBytes = 0;

  /** send() refuses frames; the stream is removed once its queue is empty. */
  bool Closing = false;
};

FrameTransport::FrameTransport(Task &Owner, FrameTransportOptions NewOptions,
                               FrameEvents Events)
    : Owner(Owner), Options(std::move(NewOptions)), Events(std::move(Events)),
      Closing(Owner, {.ResetUnclosed = true}, nullptr) {
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
  Stream &NewStream = this->addStream(Id);
  NewStream.Connection = std::make_unique<TcpConnection>(
      this->Owner,
      TcpConnectOptions{.LocalIp = this->Options.LocalIp,
                        .Remote = {.Ip = Peer, .Port = Port}},
      this->makeTcpEvents(Id));
  return Id;
}

void FrameTransport::accept(int Socket) {
  const StreamId Id(++this->LastStreamId);
  Stream &NewStream = this->addStream(Id);
  NewStream.Connection = std::make_unique<TcpConnection>(
      this->Owner, Socket, this->makeTcpEvents(Id));
  this->Events.Accepted(Id, NewStream.Connection->remote().Ip);
}

bool FrameTransport::send(StreamId Id, const Frame &Value) {
  Stream *Current = this->findStream(Id);
  if (Current == nullptr || Current->Closing)
    return false;
  TcpConnection &Connection = *Current->Connection;
  if (Connection.queuedBytes() + Value.Body.size() >
      this->Options.MaxQueuedBytes)
    return false;
  Connection.send(encodeFrame(Value));
  return true;
}

void FrameTransport::close(StreamId Id) {
  Stream *Current = this->findStream(Id);
  if (Current == nullptr || Current->Closing)
    return;
  Current->Closing = true;
  if (Current->Connection->queuedBytes() == 0)
    this->Owner.post([this, Id] { this->removeStream(Id); });
}

void FrameTransport::abort(StreamId Id) {
  Stream *Current = this->findStream(Id);
  if (Current == nullptr)
    return;
  Current->Closing = true;
  this->Owner.post([this, Id] { this->removeStream(Id); });
}

uint64_t FrameTransport::progressBytes(StreamId Id) const {
  const Stream *Current = this->findStream(Id);
  return Current == nullptr
             ? 0
             : Current->ReceivedBytes + Current->Connection->drainedBytes();
}

Address FrameTransport::peerAddress(StreamId Id) const {
  const Stream *Current = this->findStream(Id);
  return Current == nullptr ? Address() : Current->Connection->remote().Ip;
}

FrameTransport::Stream *FrameTransport::findStream(StreamId Id) const {
  const auto Found = this->Streams.find(Id);
  return Found == this->Streams.end() ? nullptr : Found->second.get();
}

void FrameTransport::receive(StreamId Id, std::string_view Bytes) {
  Stream *Current = this->findStream(Id);
  Current->ReceivedBytes += Bytes.size();
  Current->Reader.feed(Bytes);
  while (const std::optional<Frame> Next = Current->Reader.next()) {
    this->Events.Received(Id, *Next);
    Current = this->findStream(Id);
    if (Current == nullptr || Current->Closing)
      return;
  }
  if (!Current->Reader.hasInvalidLength())
    return;
  this->Events.Malformed(Id,
                         makeError(Errc::BadFrame, "read frame",
                                   Current->Connection->remote().str(),
                                   "frame length is zero or over the limit"));
  this->close(Id);
}

void FrameTransport::onDrained(StreamId Id) {
  const Stream *Current = this->findStream(Id);
  if (Current != nullptr && Current->Closing)
    this->Owner.post([this, Id] { this->removeStream(Id); });
}

void FrameTransport::removeStream(StreamId Id) {
  const auto Found = this->Streams.find(Id);
  if (Found == this->Streams.end())
    return;
  std::unique_ptr<Stream> Closed = std::move(Found->second);
  this->Streams.erase(Found);
  this->Closing.add(std::move(Closed->Connection));
  this->Events.Closed(Id);
}

} // namespace bluebellbarrow
