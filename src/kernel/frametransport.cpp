#include "frametransport.h"

#include "task.h"
#include "tcplistener.h"

namespace bluebellbarrow {

struct FrameTransport::Stream {
  FrameReader Reader;
  std::unique_ptr<TcpConnection> Connection;

  /** Bytes received so far. */
  uint64_t Received = 0;

  /** Accepts no more frames, and ends once its queue is empty. */
  bool Closing = false;
};

FrameTransport::FrameTransport(Task &Owner, FrameTransportOptions NewOptions,
                               FrameEvents Events)
    : Owner(Owner), Options(std::move(NewOptions)), Events(std::move(Events)) {
  if (this->Options.Port == 0)
    return;
  auto New = std::make_unique<TcpListener>(
      Owner, Endpoint{.Ip = this->Options.Ip, .Port = this->Options.Port},
      [this](int Socket) { this->accept(Socket); });
  if (New->listening())
    this->Listener = std::move(New);
}

FrameTransport::~FrameTransport() = default;

FrameTransport::Stream &FrameTransport::addStream(StreamId Id) {
  auto New = std::make_unique<Stream>(
      Stream{.Reader = FrameReader(this->Options.MaxFrameBytes)});
  return *this->Streams.emplace(Id, std::move(New)).first->second;
}

TcpEvents FrameTransport::eventsOf(StreamId Id) {
  return {.Connected = [this, Id] { this->Events.Connected(Id); },
          .Received =
              [this, Id](std::string_view Bytes) { this->receive(Id, Bytes); },
          .Ended = [this, Id](TcpEnd) { this->drop(Id); },
          .Drained = [this, Id] { this->onDrained(Id); }};
}

StreamId FrameTransport::connect(const Address &Peer, int Port) {
  const StreamId Id(++this->LastStream);
  Stream &New = this->addStream(Id);
  New.Connection = std::make_unique<TcpConnection>(
      this->Owner,
      TcpConnectOptions{.LocalIp = this->Options.Ip,
                        .Remote = {.Ip = Peer, .Port = Port}},
      this->eventsOf(Id));
  return Id;
}

void FrameTransport::accept(int Socket) {
  const StreamId Id(++this->LastStream);
  Stream &New = this->addStream(Id);
  New.Connection =
      std::make_unique<TcpConnection>(this->Owner, Socket, this->eventsOf(Id));
  this->Events.Accepted(Id, New.Connection->remote().Ip);
}

bool FrameTransport::send(StreamId Id, const Frame &Value) {
  Stream *Target = this->find(Id);
  if (Target == nullptr || Target->Closing)
    return false;
  TcpConnection &Connection = *Target->Connection;
  if (Connection.queued() + Value.Body.size() > this->Options.MaxQueuedBytes)
    return false;
  Connection.send(frameBytes(Value));
  return true;
}

void FrameTransport::close(StreamId Id) {
  Stream *Target = this->find(Id);
  if (Target == nullptr || Target->Closing)
    return;
  Target->Closing = true;
  if (Target->Connection->queued() == 0)
    this->Owner.post([this, Id] { this->drop(Id); });
}

void FrameTransport::abort(StreamId Id) {
  Stream *Target = this->find(Id);
  if (Target == nullptr)
    return;
  Target->Closing = true;
  this->Owner.post([this, Id] { this->drop(Id); });
}

uint64_t FrameTransport::progress(StreamId Id) const {
  const Stream *Target = this->find(Id);
  return Target == nullptr
             ? 0
             : Target->Received + Target->Connection->drainedBytes();
}

Address FrameTransport::peer(StreamId Id) const {
  const Stream *Target = this->find(Id);
  return Target == nullptr ? Address() : Target->Connection->remote().Ip;
}

FrameTransport::Stream *FrameTransport::find(StreamId Id) const {
  const auto Found = this->Streams.find(Id);
  return Found == this->Streams.end() ? nullptr : Found->second.get();
}

void FrameTransport::receive(StreamId Id, std::string_view Bytes) {
  Stream *Source = this->find(Id);
  Source->Received += Bytes.size();
  Source->Reader.feed(Bytes);
  while (const std::optional<Frame> Next = Source->Reader.next()) {
    this->Events.Received(Id, *Next);
    Source = this->find(Id);
    if (Source == nullptr || Source->Closing)
      return;
  }
  if (!Source->Reader.broken())
    return;
  this->Events.Malformed(Id, makeError(Errc::BadFrame, "read frame",
                                       Source->Connection->remote().text(),
                                       "length outside the limit"));
  this->close(Id);
}

void FrameTransport::onDrained(StreamId Id) {
  const Stream *Target = this->find(Id);
  if (Target != nullptr && Target->Closing)
    this->Owner.post([this, Id] { this->drop(Id); });
}

void FrameTransport::drop(StreamId Id) {
  const auto Found = this->Streams.find(Id);
  if (Found == this->Streams.end())
    return;
  std::unique_ptr<Stream> Gone = std::move(Found->second);
  this->Streams.erase(Found);
  TcpConnection::closeGently(this->Owner, std::move(Gone->Connection));
  this->Events.Closed(Id);
}

} // namespace bluebellbarrow
