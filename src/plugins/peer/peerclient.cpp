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
      Streams(Owner,
              {.Name = "peer-client",
               .Ip = LocalIp,
               .Port = 0,
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

PeerClient::Link &PeerClient::linkTo(const Vm &Upstream, StreamId &Stream,
                                     TimePoint Now) {
  const auto Known = this->ByName.find(Upstream.Name);
  if (Known != this->ByName.end()) {
    Stream = Known->second;
    Link &Open = this->Links[Stream];
    Open.LastUse = Now;
    return Open;
  }
  Stream = this->Streams.connect(Upstream.Ip, this->PeerPort);
  this->ByName[Upstream.Name] = Stream;
  Link &New = this->Links[Stream];
  New.Name = Upstream.Name;
  New.Ip = Upstream.Ip;
  New.Opened = Now;
  New.LastUse = Now;
  New.LastReceived = Now;
  const HelloMessage Hello{.Mesh = this->Self.Mesh,
                           .Name = this->Self.Name,
                           .Life = this->Self.Life,
                           .Load = {}};
  this->Streams.send(Stream, peerFrame(PeerFrame::Hello, Hello));
  return New;
}

void PeerClient::sendRequest(const Vm &Upstream, RequestMessage Message,
                             TimePoint Now) {
  StreamId Stream;
  Link &Target = this->linkTo(Upstream, Stream, Now);
  this->Requests[Message.Number] = {.Stream = Stream, .ForLife = {}};
  if (Target.Greeted)
    this->write(Stream, Target, Message);
  else
    Target.Waiting.emplace_back(std::move(Message));
}

void PeerClient::write(StreamId Stream, Link &Target, RequestMessage &Message) {
  const auto Known = this->Requests.find(Message.Number);
  if (Known == this->Requests.end())
    return;
  Message.ForLife = Target.Life;
  Known->second.ForLife = Target.Life;
  if (this->Streams.send(Stream, peerFrame(PeerFrame::Request, Message))) {
    Known->second.Written = true;
    Target.Open += 1;
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
  Link &Target = this->linkTo(Upstream, Stream, Now);
  Known->second.Stream = Stream;
  const CancelMessage Message{
      .Number = Number, .ForLife = Known->second.ForLife, .Stop = Stop};
  if (!Target.Greeted)
    Target.Waiting.emplace_back(Message);
  else
    this->Streams.send(Stream, peerFrame(PeerFrame::Cancel, Message));
  if (Stop)
    this->forget(Number);
}

bool PeerClient::onHello(StreamId Stream, Link &Source, const Frame &Value) {
  HelloMessage Hello;
  if (!readPeerFrame(Value, PeerFrame::Hello, Hello) ||
      Hello.Mesh != this->Self.Mesh || Hello.Name != Source.Name) {
    this->malformed(Stream, Source, "not the greeting of that node");
    return false;
  }
  Source.Life = Hello.Life;
  Source.Greeted = true;
  this->Events.Load(Source.Name, Hello.Load);
  std::vector<Pending> Waiting;
  Waiting.swap(Source.Waiting);
  for (Pending &Each : Waiting) {
    if (auto *Request = std::get_if<RequestMessage>(&Each))
      this->write(Stream, Source, *Request);
    else
      this->Streams.send(
          Stream, peerFrame(PeerFrame::Cancel, std::get<CancelMessage>(Each)));
  }
  return true;
}

void PeerClient::onReceived(StreamId Stream, const Frame &Value) {
  const auto Known = this->Links.find(Stream);
  if (Known == this->Links.end())
    return;
  Link &Source = Known->second;
  this->onLife(Source, Task::now());
  if (!Source.Greeted) {
    this->onHello(Stream, Source, Value);
    return;
  }
  ReplyMessage Reply;
  CancelReplyMessage Cancelled;
  PongMessage Pong;
  OverdueMessage Late;
  if (readPeerFrame(Value, PeerFrame::Reply, Reply)) {
    this->Events.Load(Source.Name, Reply.Load);
    const auto Request = this->Requests.find(Reply.Number);
    if (Request == this->Requests.end() || Request->second.Stream != Stream)
      return;
    this->forget(Reply.Number);
    this->Events.Reply(Reply);
  } else if (readPeerFrame(Value, PeerFrame::CancelReply, Cancelled)) {
    if (this->Requests.contains(Cancelled.Number))
      this->Events.CancelReply(Cancelled);
  } else if (readPeerFrame(Value, PeerFrame::Overdue, Late)) {
    if (this->Requests.contains(Late.Number))
      this->Events.Overdue(Late.Number);
  } else if (readPeerFrame(Value, PeerFrame::Pong, Pong)) {
    this->Events.Load(Source.Name, Pong.Load);
  } else {
    this->malformed(Stream, Source, "malformed message");
  }
}

void PeerClient::malformed(StreamId Stream, const Link &Source,
                           const char *Detail) {
  this->Events.Malformed(
      makeError(Errc::BadFrame, "read peer frame", Source.Ip.str(), Detail));
  this->Streams.close(Stream);
}

void PeerClient::onClosed(StreamId Stream) {
  const auto Known = this->Links.find(Stream);
  if (Known == this->Links.end())
    return;
  const VmName Name = Known->second.Name;
  if (Known->second.Silent)
    this->Events.Silent(Name, false);
  this->Links.erase(Known);
  const auto Current = this->ByName.find(Name);
  if (Current != this->ByName.end() && Current->second == Stream)
    this->ByName.erase(Current);

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

void PeerClient::forget(RequestNumber Number) {
  const auto Known = this->Requests.find(Number);
  if (Known == this->Requests.end())
    return;
  const auto Used = this->Links.find(Known->second.Stream);
  if (Known->second.Written && Used != this->Links.end() &&
      Used->second.Open > 0)
    Used->second.Open -= 1;
  this->Requests.erase(Known);
}

void PeerClient::onLife(Link &Source, TimePoint Now) {
  Source.LastReceived = Now;
  Source.Pinged.reset();
  if (!Source.Silent)
    return;
  Source.Silent = false;
  this->Events.Silent(Source.Name, false);
}

void PeerClient::onSilence(StreamId Stream, Link &Target, TimePoint Now) {
  Target.Silent = true;
  logEvent(LogLevel::Warning, "peer is silent",
           {{"peer", Target.Ip.str()},
            {"open_requests", Target.Open},
            {"silent_ms", toMilliseconds(Now - Target.LastReceived)}});
  this->Events.Silent(Target.Name, true);
  for (const auto &[Number, Each] : this->Requests)
    if (Each.Stream == Stream && Each.Written)
      this->Owner.post([this, Late = Number] { this->Events.Overdue(Late); });
}

void PeerClient::pollSilence(StreamId Stream, Link &Target, TimePoint Now) {
  const uint64_t Progress = this->Streams.progress(Stream);
  if (Progress != Target.Progress) {
    Target.Progress = Progress;
    this->onLife(Target, Now);
  }
  if (Target.Silent && Now - Target.LastReceived > LostLimit) {
    this->Streams.abort(Stream);
    return;
  }
  if (!Target.Silent && Target.Pinged && Now - *Target.Pinged > PongLimit) {
    this->onSilence(Stream, Target, Now);
    return;
  }
  const bool Silent = Now - Target.LastReceived > SilenceLimit;
  if (!Silent || Target.Pinged || Target.Open == 0)
    return;
  Target.Pinged = Now;
  this->Streams.send(Stream, peerFrame(PeerFrame::Ping, PingMessage()));
}

void PeerClient::poll(TimePoint Now) {
  for (auto &[Stream, Each] : this->Links) {
    const bool Mute = !Each.Greeted && Now - Each.Opened > GreetingLimit;
    if (Mute || Now - Each.LastUse > IdleLimit)
      this->Streams.close(Stream);
    else if (Each.Greeted)
      this->pollSilence(Stream, Each, Now);
  }
}

} // namespace bluebellbarrow
