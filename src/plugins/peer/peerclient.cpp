#include "peerclient.h"

#include "kernel/log.h"
#include "kernel/task.h"
#include "peercodec.h"
#include "replycodec.h"

namespace bluebellbarrow {

namespace {

/** Time in which a peer has to send its hello. */
constexpr Duration HelloTimeout = milliseconds(300);

/** Time without progress, with open requests, after which a ping is sent. */
constexpr Duration PingAfter = milliseconds(150);

/**
 * Time in which a ping has to be answered; after it the peer is unresponsive
 * and its requests are reported as overdue, so that other upstreams are tried.
 */
constexpr Duration PongTimeout = milliseconds(400);

/**
 * Time without progress after which an unresponsive peer's stream is aborted
 * and its requests count as lost. A busy node may take a second until it is
 * scheduled, and its replies are still valid then.
 */
constexpr Duration AbortAfter = milliseconds(1500);

constexpr Duration IdleTimeout = seconds(60);

} // namespace

PeerClient::PeerClient(Task &Owner, const Address &LocalIp, int PeerPort,
                       PeerIdentity Self, PeerClientEvents Events,
                       LinkScheduler *Link, const ByteBudget *Budget)
    : Owner(Owner), PeerPort(PeerPort), Self(std::move(Self)),
      Events(std::move(Events)),
      Transport(Owner,
                {.Name = "peer-client",
                 .LocalIp = LocalIp,
                 .ListenPort = 0,
                 .MaxFrameBytes = MaxPeerFrameBytes,
                 .MaxQueuedBytes = MaxPeerQueuedBytes,
                 .Link = Link,
                 .Budget = Budget},
                {.Accepted = [](StreamId, const Address &) {},
                 .Connected = [](StreamId) {},
                 .Received =
                     [this](StreamId Stream, Frame Value) {
                       this->onReceived(Stream, std::move(Value));
                     },
                 .Closed = [this](StreamId Stream) { this->onClosed(Stream); },
                 .Malformed =
                     [this](StreamId, const Error &Failure) {
                       this->Events.Malformed(Failure);
                     },
                 .Dropped =
                     [this](StreamId Stream, const Frame &Start) {
                       this->onReplyDropped(Stream, Start);
                     }}) {}

PeerClient::Connection &
PeerClient::findOrConnect(const Vm &Upstream, StreamId &Stream, TimePoint Now) {
  const auto Known = this->StreamsByName.find(Upstream.Name);
  if (Known != this->StreamsByName.end()) {
    Stream = Known->second;
    Connection &Existing = this->Connections[Stream];
    Existing.LastUsedAt = Now;
    return Existing;
  }
  Stream = this->Transport.connect(Upstream.Ip, this->PeerPort);
  this->StreamsByName[Upstream.Name] = Stream;
  Connection &New = this->Connections[Stream];
  New.Name = Upstream.Name;
  New.Ip = Upstream.Ip;
  New.OpenedAt = Now;
  New.LastUsedAt = Now;
  New.LastProgressAt = Now;
  const HelloMessage Hello{.Mesh = this->Self.Mesh,
                           .Name = this->Self.Name,
                           .Incarnation = this->Self.Incarnation,
                           .Load = {}};
  this->Transport.send(Stream, encodePeerFrame(PeerFrameKind::Hello, Hello));
  return New;
}

void PeerClient::sendRequest(const Vm &Upstream, RequestMessage Message,
                             TimePoint Now) {
  StreamId Stream;
  Connection &Peer = this->findOrConnect(Upstream, Stream, Now);
  this->Requests[Message.Number] = {.Stream = Stream,
                                    .ExpectedIncarnation = {}};
  if (Peer.HelloReceived)
    this->writeRequest(Stream, Peer, Message);
  else
    Peer.PendingMessages.emplace_back(std::move(Message));
}

void PeerClient::writeRequest(StreamId Stream, Connection &Peer,
                              RequestMessage &Message) {
  const auto Known = this->Requests.find(Message.Number);
  if (Known == this->Requests.end())
    return;
  Message.ExpectedIncarnation = Peer.Incarnation;
  Known->second.ExpectedIncarnation = Peer.Incarnation;
  if (this->Transport.send(Stream,
                           encodePeerFrame(PeerFrameKind::Request, Message))) {
    Known->second.Written = true;
    Peer.InFlight += 1;
    return;
  }
  this->Requests.erase(Known);
  this->reportNotSent(Message.Number);
}

void PeerClient::reportNotSent(RequestNumber Number) {
  this->Owner.post([this, Number] { this->Events.NotSent(Number); });
}

void PeerClient::sendCancel(const Vm &Upstream, RequestNumber Number, bool Stop,
                            TimePoint Now) {
  const auto Known = this->Requests.find(Number);
  if (Known == this->Requests.end())
    return;
  if (!Known->second.Written) {
    this->Requests.erase(Known);
    if (!Stop)
      this->reportNotSent(Number);
    return;
  }
  StreamId Stream;
  Connection &Peer = this->findOrConnect(Upstream, Stream, Now);
  Known->second.Stream = Stream;
  const CancelMessage Message{.Number = Number,
                              .ExpectedIncarnation =
                                  Known->second.ExpectedIncarnation,
                              .Stop = Stop};
  if (!Peer.HelloReceived)
    Peer.PendingMessages.emplace_back(Message);
  else
    this->Transport.send(Stream,
                         encodePeerFrame(PeerFrameKind::Cancel, Message));
  if (Stop)
    this->removeRequest(Number);
}

bool PeerClient::onHello(StreamId Stream, Connection &Peer,
                         const Frame &Value) {
  HelloMessage Hello;
  if (!decodePeerFrame(Value, PeerFrameKind::Hello, Hello) ||
      Hello.Mesh != this->Self.Mesh || Hello.Name != Peer.Name) {
    this->rejectMalformed(Stream, Peer,
                          "expected a hello message of this peer");
    return false;
  }
  Peer.Incarnation = Hello.Incarnation;
  Peer.HelloReceived = true;
  this->Events.Load(Peer.Name, Hello.Load);
  std::vector<PendingMessage> Pending;
  Pending.swap(Peer.PendingMessages);
  for (PendingMessage &Message : Pending) {
    if (auto *Request = std::get_if<RequestMessage>(&Message))
      this->writeRequest(Stream, Peer, *Request);
    else
      this->Transport.send(Stream,
                           encodePeerFrame(PeerFrameKind::Cancel,
                                           std::get<CancelMessage>(Message)));
  }
  return true;
}

void PeerClient::reportReply(StreamId Stream, ReplyMessage Reply) {
  const auto Request = this->Requests.find(Reply.Number);
  if (Request == this->Requests.end() || Request->second.Stream != Stream)
    return;
  this->removeRequest(Reply.Number);
  this->Events.Reply(std::move(Reply));
}

void PeerClient::onReplyDropped(StreamId Stream, const Frame &Start) {
  ReplyMessage Reply{.Result = Outcome::Unknown,
                     .Reason = "the node holds too many bytes",
                     .NoRetry = true,
                     .ReachedTarget = true};
  const std::optional<RequestNumber> Number = decodeReplyNumber(Start);
  if (!Number)
    return;
  Reply.Number = *Number;
  // Posted, since the transport is still reading the frame.
  this->Owner.post([this, Stream, Reply = std::move(Reply)] {
    this->reportReply(Stream, Reply);
  });
}

void PeerClient::onReceived(StreamId Stream, Frame Value) {
  const auto Known = this->Connections.find(Stream);
  if (Known == this->Connections.end())
    return;
  Connection &Peer = Known->second;
  this->markResponsive(Peer, Task::now());
  if (!Peer.HelloReceived) {
    this->onHello(Stream, Peer, Value);
    return;
  }
  CancelReplyMessage CancelReply;
  PongMessage Pong;
  OverdueMessage Overdue;
  if (std::optional<ReplyMessage> Reply = decodeReply(Value)) {
    this->Events.Load(Peer.Name, Reply->Load);
    this->reportReply(Stream, std::move(*Reply));
  } else if (decodePeerFrame(Value, PeerFrameKind::CancelReply, CancelReply)) {
    if (this->Requests.contains(CancelReply.Number))
      this->Events.CancelReply(CancelReply);
  } else if (decodePeerFrame(Value, PeerFrameKind::Overdue, Overdue)) {
    if (this->Requests.contains(Overdue.Number))
      this->Events.Overdue(Overdue.Number);
  } else if (decodePeerFrame(Value, PeerFrameKind::Pong, Pong)) {
    this->Events.Load(Peer.Name, Pong.Load);
  } else {
    this->rejectMalformed(Stream, Peer, "malformed message");
  }
}

void PeerClient::rejectMalformed(StreamId Stream, const Connection &Peer,
                                 const char *Detail) {
  this->Events.Malformed(
      makeError(Errc::BadFrame, "read peer frame", Peer.Ip.str(), Detail));
  this->Transport.close(Stream);
}

void PeerClient::onClosed(StreamId Stream) {
  const auto Known = this->Connections.find(Stream);
  if (Known == this->Connections.end())
    return;
  const VmName Name = Known->second.Name;
  if (Known->second.Unresponsive)
    this->Events.Unresponsive(Name, false);
  this->Connections.erase(Known);
  const auto ByName = this->StreamsByName.find(Name);
  if (ByName != this->StreamsByName.end() && ByName->second == Stream)
    this->StreamsByName.erase(ByName);

  std::vector<RequestNumber> NotSent;
  std::vector<RequestNumber> Lost;
  for (const auto &[Number, Request] : this->Requests)
    if (Request.Stream == Stream)
      (Request.Written ? Lost : NotSent).push_back(Number);
  for (const RequestNumber Number : NotSent) {
    this->Requests.erase(Number);
    this->Events.NotSent(Number);
  }
  for (const RequestNumber Number : Lost)
    this->Events.Lost(Number);
}

void PeerClient::removeRequest(RequestNumber Number) {
  const auto Known = this->Requests.find(Number);
  if (Known == this->Requests.end())
    return;
  const auto FoundPeer = this->Connections.find(Known->second.Stream);
  if (Known->second.Written && FoundPeer != this->Connections.end() &&
      FoundPeer->second.InFlight > 0)
    FoundPeer->second.InFlight -= 1;
  this->Requests.erase(Known);
}

void PeerClient::markResponsive(Connection &Peer, TimePoint Now) {
  Peer.LastProgressAt = Now;
  Peer.PingSentAt.reset();
  if (!Peer.Unresponsive)
    return;
  Peer.Unresponsive = false;
  this->Events.Unresponsive(Peer.Name, false);
}

void PeerClient::markUnresponsive(StreamId Stream, Connection &Peer,
                                  TimePoint Now) {
  Peer.Unresponsive = true;
  logEvent(LogLevel::Warning, "peer is silent",
           {{"peer", Peer.Ip.str()},
            {"open_requests", Peer.InFlight},
            {"silent_ms", toMilliseconds(Now - Peer.LastProgressAt)}});
  this->Events.Unresponsive(Peer.Name, true);
  for (const auto &[Number, Request] : this->Requests)
    if (Request.Stream == Stream && Request.Written)
      this->Owner.post([this, OverdueNumber = Number] {
        this->Events.Overdue(OverdueNumber);
      });
}

void PeerClient::checkLiveness(StreamId Stream, Connection &Peer,
                               TimePoint Now) {
  const uint64_t Progress = this->Transport.progressBytes(Stream);
  if (Progress != Peer.LastProgress) {
    Peer.LastProgress = Progress;
    this->markResponsive(Peer, Now);
  }
  if (Peer.Unresponsive && Now - Peer.LastProgressAt > AbortAfter) {
    this->Transport.abort(Stream);
    return;
  }
  if (!Peer.Unresponsive && Peer.PingSentAt &&
      Now - *Peer.PingSentAt > PongTimeout) {
    this->markUnresponsive(Stream, Peer, Now);
    return;
  }
  const bool Stalled = Now - Peer.LastProgressAt > PingAfter;
  if (!Stalled || Peer.PingSentAt || Peer.InFlight == 0)
    return;
  Peer.PingSentAt = Now;
  this->Transport.send(Stream,
                       encodePeerFrame(PeerFrameKind::Ping, PingMessage()));
}

void PeerClient::poll(TimePoint Now) {
  for (auto &[Stream, Peer] : this->Connections) {
    const bool HelloOverdue =
        !Peer.HelloReceived && Now - Peer.OpenedAt > HelloTimeout;
    if (HelloOverdue || Now - Peer.LastUsedAt > IdleTimeout)
      this->Transport.close(Stream);
    else if (Peer.HelloReceived)
      this->checkLiveness(Stream, Peer, Now);
  }
}

} // namespace bluebellbarrow
