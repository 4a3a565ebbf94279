#include "controltransport.h"

#include "controlcodec.h"
#include "kernel/log.h"
#include "kernel/task.h"

namespace bluebellbarrow {

namespace {

constexpr size_t MaxQueuedBytes = size_t{32} * 1024 * 1024;
constexpr Duration IdleTimeout = seconds(120);

/** Size of the length and kind of a frame, in bytes. */
constexpr size_t FrameOverhead = 5;

} // namespace

ControlTransport::ControlTransport(Task &Owner, const Address &Ip, int Port,
                                   MeshId Mesh, ControlEvents Events)
    : Owner(Owner), Port(Port), Mesh(Mesh), Events(std::move(Events)),
      Streams(Owner,
              {.Name = "control",
               .LocalIp = Ip,
               .ListenPort = Port,
               .MaxFrameBytes = MaxControlFrameBytes,
               .MaxQueuedBytes = MaxQueuedBytes},
              {.Accepted =
                   [this](StreamId Stream, const Address &Peer) {
                     this->PeerStreams[Stream] = {.Peer = Peer,
                                                  .LastUse = Task::now()};
                   },
               .Connected = [](StreamId) {},
               .Received =
                   [this](StreamId Stream, const Frame &Value) {
                     this->onReceived(Stream, Value);
                   },
               .Closed = [this](StreamId Stream) { this->onClosed(Stream); },
               .Malformed =
                   [this](StreamId, const Error &Failure) {
                     this->Events.Malformed(Failure);
                   }}),
      Datagrams(Owner, {.Ip = Ip, .Port = Port},
                [this](const Endpoint &From, std::string_view Bytes) {
                  this->onDatagram(From, Bytes);
                }) {}

bool ControlTransport::isListening() const {
  return this->Streams.isListening() && this->Datagrams.isBound();
}

StreamId ControlTransport::findOrConnect(const Address &To, TimePoint Now) {
  const auto Existing = this->StreamByPeer.find(To);
  if (Existing != this->StreamByPeer.end())
    return Existing->second;
  const StreamId Stream = this->Streams.connect(To, this->Port);
  this->PeerStreams[Stream] = {
      .Peer = To, .LastUse = Now, .Outgoing = true, .HelloDone = true};
  this->StreamByPeer[To] = Stream;
  this->Streams.send(Stream, makeHelloFrame(this->Mesh));
  return Stream;
}

void ControlTransport::send(const Address &To, const ControlMessage &Message,
                            TimePoint Now) {
  const auto *Transfer = std::get_if<TransferMessage>(&Message);
  const Frame Value = Transfer != nullptr ? this->FrameCache.getFrame(*Transfer)
                                          : toFrame(Message);
  const StreamId Stream = this->findOrConnect(To, Now);
  this->PeerStreams[Stream].LastUse = Now;
  this->PeerStreams[Stream].ProgressAtSend =
      this->Streams.progressBytes(Stream);
  this->Events.BytesTransferred(true, controlMessageName(Message),
                                Value.Body.size() + FrameOverhead);
  if (!this->Streams.send(Stream, Value)) {
    this->Streams.close(Stream);
    this->StreamByPeer.erase(To);
    this->Owner.post([this, To] { this->Events.SendFailed(To); });
  }
}

void ControlTransport::sendDigest(const Address &To,
                                  const DigestMessage &Message) {
  const std::string Bytes = toDatagram(Message);
  const bool ToQuerySender = Message.Purpose == DigestPurpose::Response &&
                             To == this->DatagramSender.Ip;
  const int ToPort = ToQuerySender ? this->DatagramSender.Port : this->Port;
  this->Events.BytesTransferred(true, "digest", Bytes.size());
  this->Datagrams.send({.Ip = To, .Port = ToPort}, Bytes);
}

void ControlTransport::onDatagram(const Endpoint &From,
                                  std::string_view Bytes) {
  this->Events.BytesTransferred(false, "digest", Bytes.size());
  const std::optional<DigestMessage> Message = fromDatagram(Bytes);
  if (!Message || Message->Mesh != this->Mesh) {
    this->Events.Malformed(
        makeError(Errc::BadFrame, "decode datagram", From.Ip.str(),
                  Message ? "digest of another mesh" : "malformed digest"));
    return;
  }
  this->DatagramSender = From;
  this->Events.DigestReceived(From.Ip, *Message);
  this->DatagramSender = {};
}

void ControlTransport::onReceived(StreamId Stream, const Frame &Value) {
  const auto Entry = this->PeerStreams.find(Stream);
  if (Entry == this->PeerStreams.end())
    return;
  PeerStream &Source = Entry->second;
  Source.LastUse = Task::now();
  const bool AwaitsHello = !Source.HelloDone;
  if (AwaitsHello && isHello(Value, this->Mesh)) {
    Source.HelloDone = true;
    return;
  }
  const std::optional<ControlMessage> Message =
      AwaitsHello ? std::nullopt : fromFrame(Value);
  if (!Message) {
    this->Events.Malformed(
        makeError(Errc::BadFrame, "decode control frame", Source.Peer.str(),
                  AwaitsHello ? "expected a hello message of this mesh"
                              : "malformed message"));
    this->Streams.close(Stream);
    return;
  }
  this->Events.BytesTransferred(false, controlMessageName(*Message),
                                Value.Body.size() + FrameOverhead);
  const Address Peer = Source.Peer;
  this->StreamByPeer[Peer] = Stream;
  this->Events.MessageReceived(Peer, *Message);
}

void ControlTransport::onClosed(StreamId Stream) {
  const auto Entry = this->PeerStreams.find(Stream);
  if (Entry == this->PeerStreams.end())
    return;
  const Address Peer = Entry->second.Peer;
  this->PeerStreams.erase(Entry);
  const auto Current = this->StreamByPeer.find(Peer);
  if (Current == this->StreamByPeer.end() || Current->second != Stream)
    return;
  this->StreamByPeer.erase(Current);
  this->Events.SendFailed(Peer);
}

void ControlTransport::resetIfStalled(const Address &To) {
  const auto Current = this->StreamByPeer.find(To);
  if (Current == this->StreamByPeer.end())
    return;
  const StreamId Stream = Current->second;
  const PeerStream &Stalled = this->PeerStreams[Stream];
  if (this->Streams.progressBytes(Stream) != Stalled.ProgressAtSend)
    return;
  logEvent(LogLevel::Warning, "control stream given up",
           {{"peer", To.str()},
            {"silent_ms", toMilliseconds(Task::now() - Stalled.LastUse)}});
  this->StreamByPeer.erase(Current);
  this->PeerStreams.erase(Stream);
  this->Streams.abort(Stream);
}

void ControlTransport::closeIdle(TimePoint Now) {
  for (const auto &[Stream, State] : this->PeerStreams)
    if (Now - State.LastUse > IdleTimeout)
      this->Streams.close(Stream);
}

} // namespace bluebellbarrow
