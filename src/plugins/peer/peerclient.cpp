#include "peerclient.h"

#include "kernel/log.h"
#include "kernel/task.h"
#include "peercodec.h"

namespace bluebellbarrow {

namespace {

/** Time in which a peer must greet. */
constexpr Duration GreetingLimit = milliseconds(300);

/** Silence with open requests after which a peer is asked for a sign. */
constexpr Duration SilenceLimit = milliseconds(150);

/** Time in which a ping must be answered; then others are asked as well. */
constexpr Duration PongLimit = milliseconds(400);

/**
 * Silence after which what is open counts as lost. A busy node may need a
 * second for its turn, and its answers are still good then.
 */
constexpr Duration LostLimit = milliseconds(1500);

constexpr Duration IdleLimit = seconds(60);

} // namespace

PeerClient::PeerClient(Task &Owner, const Address &LocalIp, int PeerPort,
                       PeerIdentity Self, PeerClientEvents Events)
    : Owner(Owner), PeerPort(PeerPort), Self(std::move(Self)),
      Events(std::move(Events)),
      Transport(Owner,
                {.Name = "peer-client",
                 .LocalIp = LocalIp,
                 .ListenPort = 0,
                 .MaxFrameBytes = MaxPeerFrameBytes,
                 .MaxQueuedBytes = MaxPeerQueuedBytes},
                {.Accepted = [](StreamId, const Address &) {},
                 .Connected = [](StreamId) {},
                 .Received =
                     [this](StreamId Stream, const Frame &Value) {
                       this->onReceived(Stream, Value);
                     },
                 .Closed = [this](StreamId Stream) { this->onClosed(Stream); },
                 .Malformed =
                     [this](StreamId, const Error &Failure) {
                       this->Events.Malformed(Failure);
                     }}) {}

PeerClient::Connection &
PeerClient::findOrConnect(const Vm &Upstream, StreamId &Stream, TimePoint Now) {
  const auto Known = this->StreamsByName.find(Upstream.Name);
  if (Known != this->StreamsByName.end()) {
    Stream = Known->second;
    Connection &Open = this->Connections[Stream];
    Open.LastUsedAt = Now;
    return Open;
  }
  Stream = this->Transport.connect(Upstream.Ip, this->PeerPort);
  this->StreamsByName[Upstream.Name] = Stream;
  Connection &New = this->Connections[Stream];
  New.Name = Upstream.Name;
  New.Ip = Upstream.Ip;
  New.OpenedAt = Now;
  New.LastUsedAt = Now;
  New.LastReceivedAt = Now;
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
  Connection &Target = this->findOrConnect(Upstream, Stream, Now);
  this->Requests[Message.Number] = {.Stream = Stream,
                                    .ExpectedIncarnation = {}};
  if (Target.HelloReceived)
    this->writeRequest(Stream, Target, Message);
  else
    Target.PendingMessages.emplace_back(std::move(Message));
}

void PeerClient::writeRequest(StreamId Stream, Connection &Target,
                              RequestMessage &Message) {
  const auto Known = this->Requests.find(Message.Number);
  if (Known == this->Requests.end())
    return;
  Message.ExpectedIncarnation = Target.Incarnation;
  Known->second.ExpectedIncarnation = Target.Incarnation;
  if (this->Transport.send(Stream,
                           encodePeerFrame(PeerFrameKind::Request, Message))) {
    Known->second.Written = true;
    Target.InFlight += 1;
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
  Connection &Target = this->findOrConnect(Upstream, Stream, Now);
  Known->second.Stream = Stream;
  const CancelMessage Message{.Number = Number,
                              .ExpectedIncarnation =
                                  Known->second.ExpectedIncarnation,
                              .Stop = Stop};
  if (!Target.HelloReceived)
    Target.PendingMessages.emplace_back(Message);
  else
    this->Transport.send(Stream,
                         encodePeerFrame(PeerFrameKind::Cancel, Message));
  if (Stop)
    this->removeRequest(Number);
}

bool PeerClient::onHello(StreamId Stream, Connection &Source,
                         const Frame &Value) {
  HelloMessage Hello;
  if (!decodePeerFrame(Value, PeerFrameKind::Hello, Hello) ||
      Hello.Mesh != this->Self.Mesh || Hello.Name != Source.Name) {
    this->rejectMalformed(Stream, Source, "not the greeting of that node");
    return false;
  }
  Source.Incarnation = Hello.Incarnation;
  Source.HelloReceived = true;
  this->Events.Load(Source.Name, Hello.Load);
  std::vector<PendingMessage> Waiting;
  Waiting.swap(Source.PendingMessages);
  for (PendingMessage &Each : Waiting) {
    if (auto *Request = std::get_if<RequestMessage>(&Each))
      this->writeRequest(Stream, Source, *Request);
    else
      this->Transport.send(Stream,
                           encodePeerFrame(PeerFrameKind::Cancel,
                                           std::get<CancelMessage>(Each)));
  }
  return true;
}

void PeerClient::onReceived(StreamId Stream, const Frame &Value) {
  const auto Known = this->Connections.find(Stream);
  if (Known == this->Connections.end())
    return;
  Connection &Source = Known->second;
  this->markResponsive(Source, Task::now());
  if (!Source.HelloReceived) {
    this->onHello(Stream, Source, Value);
    return;
  }
  ReplyMessage Reply;
  CancelReplyMessage Cancelled;
  PongMessage Pong;
  OverdueMessage Late;
  if (decodePeerFrame(Value, PeerFrameKind::Reply, Reply)) {
    this->Events.Load(Source.Name, Reply.Load);
    const auto Request = this->Requests.find(Reply.Number);
    if (Request == this->Requests.end() || Request->second.Stream != Stream)
      return;
    this->removeRequest(Reply.Number);
    this->Events.Reply(Reply);
  } else if (decodePeerFrame(Value, PeerFrameKind::CancelReply, Cancelled)) {
    if (this->Requests.contains(Cancelled.Number))
      this->Events.CancelReply(Cancelled);
  } else if (decodePeerFrame(Value, PeerFrameKind::Overdue, Late)) {
    if (this->Requests.contains(Late.Number))
      this->Events.Overdue(Late.Number);
  } else if (decodePeerFrame(Value, PeerFrameKind::Pong, Pong)) {
    this->Events.Load(Source.Name, Pong.Load);
  } else {
    this->rejectMalformed(Stream, Source, "malformed message");
  }
}

void PeerClient::rejectMalformed(StreamId Stream, const Connection &Source,
                                 const char *Detail) {
  this->Events.Malformed(
      makeError(Errc::BadFrame, "read peer frame", Source.Ip.str(), Detail));
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
  const auto Current = this->StreamsByName.find(Name);
  if (Current != this->StreamsByName.end() && Current->second == Stream)
    this->StreamsByName.erase(Current);

  std::vector<RequestNumber> NotSent;
  std::vector<RequestNumber> Lost;
  for (const auto &[Number, Each] : this->Requests)
    if (Each.Stream == Stream)
      (Each.Written ? Lost : NotSent).push_back(Number);
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
  const auto Used = this->Connections.find(Known->second.Stream);
  if (Known->second.Written && Used != this->Connections.end() &&
      Used->second.InFlight > 0)
    Used->second.InFlight -= 1;
  this->Requests.erase(Known);
}

void PeerClient::markResponsive(Connection &Source, TimePoint Now) {
  Source.LastReceivedAt = Now;
  Source.PingSentAt.reset();
  if (!Source.Unresponsive)
    return;
  Source.Unresponsive = false;
  this->Events.Unresponsive(Source.Name, false);
}

void PeerClient::markUnresponsive(StreamId Stream, Connection &Target,
                                  TimePoint Now) {
  Target.Unresponsive = true;
  logEvent(LogLevel::Warning, "peer is silent",
           {{"peer", Target.Ip.str()},
            {"open_requests", Target.InFlight},
            {"silent_ms", toMilliseconds(Now - Target.LastReceivedAt)}});
  this->Events.Unresponsive(Target.Name, true);
  for (const auto &[Number, Each] : this->Requests)
    if (Each.Stream == Stream && Each.Written)
      this->Owner.post([this, Late = Number] { this->Events.Overdue(Late); });
}

void PeerClient::checkLiveness(StreamId Stream, Connection &Target,
                               TimePoint Now) {
  const uint64_t Progress = this->Transport.progressBytes(Stream);
  if (Progress != Target.LastProgress) {
    Target.LastProgress = Progress;
    this->markResponsive(Target, Now);
  }
  if (Target.Unresponsive && Now - Target.LastReceivedAt > LostLimit) {
    this->Transport.abort(Stream);
    return;
  }
  if (!Target.Unresponsive && Target.PingSentAt &&
      Now - *Target.PingSentAt > PongLimit) {
    this->markUnresponsive(Stream, Target, Now);
    return;
  }
  const bool Silent = Now - Target.LastReceivedAt > SilenceLimit;
  if (!Silent || Target.PingSentAt || Target.InFlight == 0)
    return;
  Target.PingSentAt = Now;
  this->Transport.send(Stream,
                       encodePeerFrame(PeerFrameKind::Ping, PingMessage()));
}

void PeerClient::poll(TimePoint Now) {
  for (auto &[Stream, Each] : this->Connections) {
    const bool Mute =
        !Each.HelloReceived && Now - Each.OpenedAt > GreetingLimit;
    if (Mute || Now - Each.LastUsedAt > IdleLimit)
      this->Transport.close(Stream);
    else if (Each.HelloReceived)
      this->checkLiveness(Stream, Each, Now);
  }
}

} // namespace bluebellbarrow
