#include "frametransport.h"

#include "frameassembler.h"
#include "linkscheduler.h"
#include "task.h"
#include "tcplistener.h"

#include <deque>

namespace bluebellbarrow {

namespace {

/** A long frame of which a part was sent. */
struct LongFrame {
  uint32_t Id = 0;
  Frame Value;
  size_t SentBytes = 0;
};

} // namespace

struct FrameTransport::Stream {
  FrameReader Reader;
  std::unique_ptr<TcpConnection> Connection;

  /** Number at the link; 0 without one. */
  uint64_t LinkSender = 0;

  /** Long frames that are not sent completely; the first one is next. */
  std::deque<LongFrame> LongFrames;

  /** Length of LongFrames, which are held until they are sent completely. */
  size_t LongBytes = 0;

  /** The part of LongBytes that is not sent yet. */
  size_t UnsentBytes = 0;

  FrameAssembler Assembler;

  uint32_t LastLongFrame = 0;

  /** Bytes of fragments sent so far. */
  uint64_t FragmentBytes = 0;

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

FrameTransport::~FrameTransport() {
  if (this->Options.Link == nullptr)
    return;
  for (const auto &[Id, Open] : this->Streams) {
    this->Options.Link->removeSender(Open->LinkSender);
    this->Options.Link->removeBacklog(Open->UnsentBytes);
  }
}

FrameTransport::Stream &FrameTransport::addStream(StreamId Id) {
  auto NewStream = std::make_unique<Stream>(
      Stream{.Reader = FrameReader(this->Options.MaxFrameBytes),
             .Assembler = FrameAssembler(this->Options.MaxFrameBytes)});
  if (this->Options.Link != nullptr)
    NewStream->LinkSender = this->Options.Link->addSender(
        [this, Id] { return this->sendFragment(Id); });
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

bool FrameTransport::send(StreamId Id, Frame Value) {
  Stream *Current = this->findStream(Id);
  if (Current == nullptr || Current->Closing)
    return false;
  TcpConnection &Connection = *Current->Connection;
  const size_t Bytes = Value.Body.size();
  if (Connection.queuedBytes() + Current->LongBytes + Bytes >
      this->Options.MaxQueuedBytes)
    return false;
  LinkScheduler *Link = this->Options.Link;
  if (Link == nullptr || Bytes <= Link->pieceBytes()) {
    if (Link != nullptr)
      Link->onShortMessage(Bytes);
    Connection.send(encodeFrame(Value));
    return true;
  }
  Current->LastLongFrame += 1;
  Current->LongBytes += Bytes;
  Current->UnsentBytes += Bytes;
  this->LongBytes += Bytes;
  Current->LongFrames.push_back(
      {.Id = Current->LastLongFrame, .Value = std::move(Value)});
  Link->addBacklog(Bytes);
  Link->requestTurns(Current->LinkSender);
  return true;
}

size_t FrameTransport::sendFragment(StreamId Id) {
  Stream *Current = this->findStream(Id);
  // Drained requests the next turn when the peer is slower than the link.
  if (Current == nullptr || Current->LongFrames.empty() ||
      Current->Connection->queuedBytes() > 0)
    return 0;
  LongFrame Next = std::move(Current->LongFrames.front());
  Current->LongFrames.pop_front();
  const std::string &Body = Next.Value.Body;
  const size_t Bytes =
      std::min(this->Options.Link->pieceBytes(), Body.size() - Next.SentBytes);
  const Frame Fragment =
      makeFragment({.Id = Next.Id,
                    .TotalBytes = static_cast<uint32_t>(Body.size()),
                    .Kind = Next.Value.Kind},
                   std::string_view(Body).substr(Next.SentBytes, Bytes));
  Next.SentBytes += Bytes;
  Current->UnsentBytes -= Bytes;
  Current->FragmentBytes += Bytes;
  if (Next.SentBytes < Body.size()) {
    Current->LongFrames.push_back(std::move(Next));
  } else {
    Current->LongBytes -= Body.size();
    this->LongBytes -= Body.size();
  }
  Current->Connection->send(encodeFrame(Fragment));
  if (Current->LongFrames.empty())
    this->onDrained(Id);
  return Bytes;
}

std::optional<Frame> FrameTransport::addFragment(StreamId Id, Stream &Receiver,
                                                 const Frame &Fragment,
                                                 bool &IsMalformed) {
  FrameAssembler &Assembler = Receiver.Assembler;
  const size_t HeldBefore = Assembler.heldBytes();
  AssembledFragment Added = Assembler.add(Fragment, this->Options.Budget);
  this->PartialBytes += Assembler.heldBytes() - HeldBefore;
  IsMalformed = Added.IsMalformed;
  if (Added.Dropped)
    this->Events.Dropped(Id, *Added.Dropped);
  return std::move(Added.Complete);
}

void FrameTransport::close(StreamId Id) {
  Stream *Current = this->findStream(Id);
  if (Current == nullptr || Current->Closing)
    return;
  Current->Closing = true;
  this->onDrained(Id);
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
  return Current == nullptr ? 0
                            : Current->ReceivedBytes + Current->FragmentBytes +
                                  Current->Connection->drainedBytes();
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
  bool IsMalformed = false;
  while (std::optional<Frame> Next = Current->Reader.next()) {
    if (Next->Kind == FragmentKind)
      Next = this->addFragment(Id, *Current, *Next, IsMalformed);
    if (IsMalformed)
      break;
    if (!Next)
      continue;
    this->Events.Received(Id, std::move(*Next));
    Current = this->findStream(Id);
    if (Current == nullptr || Current->Closing)
      return;
  }
  if (!IsMalformed && !Current->Reader.hasInvalidLength())
    return;
  this->Events.Malformed(Id,
                         makeError(Errc::BadFrame, "read frame",
                                   Current->Connection->remote().str(),
                                   "malformed fragment, or a length that is "
                                   "zero or over the limit"));
  this->close(Id);
}

void FrameTransport::onDrained(StreamId Id) {
  const Stream *Current = this->findStream(Id);
  if (Current == nullptr || Current->Connection->queuedBytes() > 0)
    return;
  if (!Current->LongFrames.empty())
    this->Options.Link->requestTurns(Current->LinkSender);
  else if (Current->Closing)
    this->Owner.post([this, Id] { this->removeStream(Id); });
}

void FrameTransport::removeStream(StreamId Id) {
  const auto Found = this->Streams.find(Id);
  if (Found == this->Streams.end())
    return;
  std::unique_ptr<Stream> Closed = std::move(Found->second);
  this->Streams.erase(Found);
  this->LongBytes -= Closed->LongBytes;
  this->PartialBytes -= Closed->Assembler.heldBytes();
  if (this->Options.Link != nullptr) {
    this->Options.Link->removeSender(Closed->LinkSender);
    this->Options.Link->removeBacklog(Closed->UnsentBytes);
  }
  this->Closing.add(std::move(Closed->Connection));
  this->Events.Closed(Id);
}

} // namespace bluebellbarrow
