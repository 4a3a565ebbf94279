#include "controllinks.h"

#include "controlcodec.h"
#include "kernel/log.h"
#include "kernel/task.h"

namespace bluebellbarrow {

namespace {

constexpr size_t MaxQueuedBytes = size_t{32} * 1024 * 1024;
constexpr Duration IdleLimit = seconds(120);

/** Bytes of a frame's length and kind. */
constexpr size_t FrameOverhead = 5;

} // namespace

ControlLinks::ControlLinks(Task &Owner, const Address &Ip, int Port,
                           MeshId Mesh, ControlEvents Events)
    : Owner(Owner), Port(Port), Mesh(Mesh), Events(std::move(Events)),
      Streams(Owner,
              {.Name = "control",
               .Ip = Ip,
               .Port = Port,
               .MaxFrameBytes = MaxControlFrameBytes,
               .MaxQueuedBytes = MaxQueuedBytes},
              {.Accepted =
                   [this](StreamId Stream, const Address &Peer) {
                     this->Links[Stream] = {.Peer = Peer,
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

bool ControlLinks::listening() const {
  return this->Streams.listening() && this->Datagrams.bound();
}

StreamId ControlLinks::streamTo(const Address &To, TimePoint Now) {
  const auto Known = this->ByPeer.find(To);
  if (Known != this->ByPeer.end())
    return Known->second;
  const StreamId Stream = this->Streams.connect(To, this->Port);
  this->Links[Stream] = {
      .Peer = To, .LastUse = Now, .Outgoing = true, .Greeted = true};
  this->ByPeer[To] = Stream;
  this->Streams.send(Stream, greetingFrame(this->Mesh));
  return Stream;
}

void ControlLinks::send(const Address &To, const ControlMessage &Message,
                        TimePoint Now) {
  const auto *Transfer = std::get_if<TransferMessage>(&Message);
  const Frame Value = Transfer != nullptr ? this->Transfers.frameOf(*Transfer)
                                          : toFrame(Message);
  const StreamId Stream = this->streamTo(To, Now);
  this->Links[Stream].LastUse = Now;
  this->Links[Stream].ProgressAtSend = this->Streams.progress(Stream);
  this->Events.Counted(true, controlMessageName(Message),
                       Value.Body.size() + FrameOverhead);
  if (!this->Streams.send(Stream, Value)) {
    this->Streams.close(Stream);
    this->ByPeer.erase(To);
    this->Owner.post([this, To] { this->Events.Failed(To); });
  }
}

void ControlLinks::sendDigest(const Address &To, const DigestMessage &Message) {
  const std::string Bytes = toDatagram(Message);
  const bool ToObserver =
      Message.Purpose == DigestPurpose::Answer && To == this->Observer.Ip;
  const int ToPort = ToObserver ? this->Observer.Port : this->Port;
  this->Events.Counted(true, "digest", Bytes.size());
  this->Datagrams.send({.Ip = To, .Port = ToPort}, Bytes);
}

void ControlLinks::onDatagram(const Endpoint &From, std::string_view Bytes) {
  this->Events.Counted(false, "digest", Bytes.size());
  const std::optional<DigestMessage> Message = fromDatagram(Bytes);
  if (!Message || Message->Mesh != this->Mesh) {
    this->Events.Malformed(
        makeError(Errc::BadFrame, "read datagram", From.Ip.str(),
                  Message ? "digest of another mesh" : "not a digest"));
    return;
  }
  this->Observer = From;
  this->Events.Digest(From.Ip, *Message);
  this->Observer = {};
}

void ControlLinks::onReceived(StreamId Stream, const Frame &Value) {
  const auto Known = this->Links.find(Stream);
  if (Known == this->Links.end())
    return;
  Link &Source = Known->second;
  Source.LastUse = Task::now();
  const bool First = !Source.Greeted;
  if (First && isGreeting(Value, this->Mesh)) {
    Source.Greeted = true;
    return;
  }
  const std::optional<ControlMessage> Message =
      First ? std::nullopt : fromFrame(Value);
  if (!Message) {
    this->Events.Malformed(
        makeError(Errc::BadFrame, "read control frame", Source.Peer.str(),
                  First ? "not a greeting of this mesh" : "malformed message"));
    this->Streams.close(Stream);
    return;
  }
  this->Events.Counted(false, controlMessageName(*Message),
                       Value.Body.size() + FrameOverhead);
  const Address Peer = Source.Peer;
  this->ByPeer[Peer] = Stream;
  this->Events.Message(Peer, *Message);
}

void ControlLinks::onClosed(StreamId Stream) {
  const auto Known = this->Links.find(Stream);
  if (Known == this->Links.end())
    return;
  const Address Peer = Known->second.Peer;
  this->Links.erase(Known);
  const auto Current = this->ByPeer.find(Peer);
  if (Current == this->ByPeer.end() || Current->second != Stream)
    return;
  this->ByPeer.erase(Current);
  this->Events.Failed(Peer);
}

void ControlLinks::renew(const Address &To) {
  const auto Current = this->ByPeer.find(To);
  if (Current == this->ByPeer.end())
    return;
  const StreamId Stream = Current->second;
  const Link &Silent = this->Links[Stream];
  if (this->Streams.progress(Stream) != Silent.ProgressAtSend)
    return;
  logEvent(LogLevel::Warning, "control stream given up",
           {{"peer", To.str()},
            {"silent_ms", toMilliseconds(Task::now() - Silent.LastUse)}});
  this->ByPeer.erase(Current);
  this->Links.erase(Stream);
  this->Streams.abort(Stream);
}

void ControlLinks::closeIdle(TimePoint Now) {
  for (const auto &[Stream, Each] : this->Links)
    if (Now - Each.LastUse > IdleLimit)
      this->Streams.close(Stream);
}

} // namespace bluebellbarrow
