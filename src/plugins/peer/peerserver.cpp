#include "peerserver.h"

#include "kernel/task.h"
#include "peercodec.h"

namespace bluebellbarrow {

PeerServer::PeerServer(Task &Owner, const Address &Ip, int Port,
                       PeerIdentity Self, PeerServerEvents Events)
    : Self(std::move(Self)), Events(std::move(Events)),
      Streams(
          Owner,
          {.Name = "peer-server",
           .Ip = Ip,
           .Port = Port,
           .MaxFrameBytes = MaxPeerFrameBytes,
           .MaxQueuedBytes = MaxPeerQueuedBytes},
          {.Accepted = [](StreamId, const Address &) {},
           .Connected = [](StreamId) {},
           .Received =
               [this](StreamId Stream, const Frame &Value) {
                 this->onReceived(Stream, Value);
               },
           .Closed = [this](StreamId Stream) { this->Origins.erase(Stream); },
           .Malformed =
               [this](StreamId, const Error &Failure) {
                 this->Events.Malformed(Failure);
               }}) {}

void PeerServer::reply(StreamId Stream, const ReplyMessage &Message) {
  this->Streams.send(Stream, peerFrame(PeerFrame::Reply, Message));
}

void PeerServer::reply(StreamId Stream, const CancelReplyMessage &Message) {
  this->Streams.send(Stream, peerFrame(PeerFrame::CancelReply, Message));
}

void PeerServer::sendOverdue(StreamId Stream, RequestNumber Number) {
  this->Streams.send(
      Stream, peerFrame(PeerFrame::Overdue, OverdueMessage{.Number = Number}));
}

void PeerServer::onHello(StreamId Stream, const Frame &Value) {
  HelloMessage Hello;
  if (!readPeerFrame(Value, PeerFrame::Hello, Hello) ||
      Hello.Mesh != this->Self.Mesh) {
    this->malformed(Stream, "not a greeting of this mesh");
    return;
  }
  this->Origins[Stream] = {.Name = Hello.Name, .Life = Hello.Life};
  const HelloMessage Answer{.Mesh = this->Self.Mesh,
                            .Name = this->Self.Name,
                            .Life = this->Self.Life,
                            .Load = this->Events.Load()};
  this->Streams.send(Stream, peerFrame(PeerFrame::Hello, Answer));
}

void PeerServer::onReceived(StreamId Stream, const Frame &Value) {
  const auto Known = this->Origins.find(Stream);
  if (Known == this->Origins.end()) {
    this->onHello(Stream, Value);
    return;
  }
  const Origin From = Known->second;
  RequestMessage Request;
  CancelMessage Cancel;
  PingMessage Ping;
  if (readPeerFrame(Value, PeerFrame::Request, Request))
    this->onRequest(Stream, From, Request);
  else if (readPeerFrame(Value, PeerFrame::Cancel, Cancel))
    this->onCancel(Stream, From, Cancel);
  else if (readPeerFrame(Value, PeerFrame::Ping, Ping))
    this->Streams.send(
        Stream,
        peerFrame(PeerFrame::Pong, PongMessage{.Load = this->Events.Load()}));
  else
    this->malformed(Stream, "malformed message");
}

void PeerServer::onRequest(StreamId Stream, const Origin &From,
                           const RequestMessage &Message) {
  if (Message.ForLife != this->Self.Life) {
    this->reply(Stream, ReplyMessage{.Number = Message.Number,
                                     .Result = Outcome::NotRun,
                                     .Reason = "meant for another life",
                                     .Load = this->Events.Load()});
    return;
  }
  this->Events.Request(
      Stream,
      {.Origin = From.Name, .Life = From.Life, .Number = Message.Number},
      Message);
}

void PeerServer::onCancel(StreamId Stream, const Origin &From,
                          const CancelMessage &Message) {
  if (Message.ForLife != this->Self.Life) {
    this->reply(Stream, CancelReplyMessage{.Number = Message.Number,
                                           .State = CancelState::OtherLife});
    return;
  }
  this->Events.Cancel(
      Stream,
      {.Origin = From.Name, .Life = From.Life, .Number = Message.Number},
      Message);
}

void PeerServer::malformed(StreamId Stream, const char *Detail) {
  this->Events.Malformed(makeError(Errc::BadFrame, "read peer frame",
                                   this->Streams.peer(Stream).str(), Detail));
  this->Streams.close(Stream);
}

} // namespace bluebellbarrow
