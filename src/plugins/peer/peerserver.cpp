#include "peerserver.h"

#include "kernel/task.h"
#include "peercodec.h"
#include "replycodec.h"

namespace bluebellbarrow {

PeerServer::PeerServer(Task &Owner, const Address &Ip, int Port,
                       PeerIdentity Self, PeerServerEvents Events,
                       LinkScheduler *Link, const ByteBudget *Budget)
    : Self(std::move(Self)), Events(std::move(Events)),
      Transport(
          Owner,
          {.Name = "peer-server",
           .LocalIp = Ip,
           .ListenPort = Port,
           .MaxFrameBytes = MaxPeerFrameBytes,
           .MaxQueuedBytes = MaxPeerQueuedBytes,
           .Link = Link,
           .Budget = Budget},
          {.Accepted = [](StreamId, const Address &) {},
           .Connected = [](StreamId) {},
           .Received =
               [this](StreamId Stream, const Frame &Incoming) {
                 this->onReceived(Stream, Incoming);
               },
           .Closed = [this](StreamId Stream) { this->Clients.erase(Stream); },
           .Malformed =
               [this](StreamId, const Error &Failure) {
                 this->Events.Malformed(Failure);
               },
           .Dropped =
               [this](StreamId Stream, const Frame &Start) {
                 this->onRequestDropped(Stream, Start);
               }}) {}

void PeerServer::sendReply(StreamId Stream, ReplyMessage Message) {
  this->Transport.send(Stream, encodeReply(std::move(Message)));
}

void PeerServer::sendCancelReply(StreamId Stream,
                                 const CancelReplyMessage &Message) {
  this->Transport.send(Stream,
                       encodePeerFrame(PeerFrameKind::CancelReply, Message));
}

void PeerServer::sendOverdue(StreamId Stream, RequestNumber Number) {
  this->Transport.send(Stream,
                       encodePeerFrame(PeerFrameKind::Overdue,
                                       OverdueMessage{.Number = Number}));
}

void PeerServer::onRequestDropped(StreamId Stream, const Frame &Start) {
  ReplyMessage Reply{.Result = Outcome::NotRun,
                     .Reason = "the node holds too many bytes",
                     .Load = this->Events.CurrentLoad()};
  const std::optional<RequestNumber> Number = decodeRequestNumber(Start);
  if (!Number)
    return;
  Reply.Number = *Number;
  this->sendReply(Stream, std::move(Reply));
}

void PeerServer::onHello(StreamId Stream, const Frame &Incoming) {
  HelloMessage Hello;
  if (!decodePeerFrame(Incoming, PeerFrameKind::Hello, Hello) ||
      Hello.Mesh != this->Self.Mesh) {
    this->rejectMalformed(Stream, "expected a hello message of this mesh");
    return;
  }
  this->Clients[Stream] = {.Name = Hello.Name,
                           .Incarnation = Hello.Incarnation};
  const HelloMessage Reply{.Mesh = this->Self.Mesh,
                           .Name = this->Self.Name,
                           .Incarnation = this->Self.Incarnation,
                           .Load = this->Events.CurrentLoad()};
  this->Transport.send(Stream, encodePeerFrame(PeerFrameKind::Hello, Reply));
}

void PeerServer::onReceived(StreamId Stream, const Frame &Incoming) {
  const auto Found = this->Clients.find(Stream);
  if (Found == this->Clients.end()) {
    this->onHello(Stream, Incoming);
    return;
  }
  const Client Sender = Found->second;
  RequestMessage Request;
  CancelMessage Cancel;
  PingMessage Ping;
  if (decodePeerFrame(Incoming, PeerFrameKind::Request, Request))
    this->onRequest(Stream, Sender, Request);
  else if (decodePeerFrame(Incoming, PeerFrameKind::Cancel, Cancel))
    this->onCancel(Stream, Sender, Cancel);
  else if (decodePeerFrame(Incoming, PeerFrameKind::Ping, Ping))
    this->Transport.send(
        Stream,
        encodePeerFrame(PeerFrameKind::Pong,
                        PongMessage{.Load = this->Events.CurrentLoad()}));
  else
    this->rejectMalformed(Stream, "expected a request, cancel or ping message");
}

void PeerServer::onRequest(StreamId Stream, const Client &Sender,
                           const RequestMessage &Message) {
  if (Message.ExpectedIncarnation != this->Self.Incarnation) {
    this->sendReply(Stream, ReplyMessage{.Number = Message.Number,
                                         .Result = Outcome::NotRun,
                                         .Reason = "meant for another life",
                                         .Load = this->Events.CurrentLoad()});
    return;
  }
  this->Events.Request(Stream,
                       {.Origin = Sender.Name,
                        .OriginIncarnation = Sender.Incarnation,
                        .Number = Message.Number},
                       Message);
}

void PeerServer::onCancel(StreamId Stream, const Client &Sender,
                          const CancelMessage &Message) {
  if (Message.ExpectedIncarnation != this->Self.Incarnation) {
    this->sendCancelReply(
        Stream, CancelReplyMessage{.Number = Message.Number,
                                   .State = CancelState::OtherIncarnation});
    return;
  }
  this->Events.Cancel(Stream,
                      {.Origin = Sender.Name,
                       .OriginIncarnation = Sender.Incarnation,
                       .Number = Message.Number},
                      Message);
}

void PeerServer::rejectMalformed(StreamId Stream, const char *Detail) {
  this->Events.Malformed(makeError(Errc::BadFrame, "read peer frame",
                                   this->Transport.peerAddress(Stream).str(),
                                   Detail));
  this->Transport.close(Stream);
}

} // namespace bluebellbarrow
