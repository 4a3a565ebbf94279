#include "tcpconnection.h"

#include "descriptor.h"
#include "linkscheduler.h"
#include "releasememory.h"
#include "socketaddress.h"
#include "task.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace bluebellbarrow {

namespace {

/** Bytes received at most by one call of recv(). */
constexpr size_t ReceiveBufferBytes = size_t{64} * 1024;

/** Reads from one connection before other connections are served. */
constexpr int MaxReadsPerEvent = 4;

/**
 * Bytes written at most by one call of send(), so that a long message does not
 * keep other connections waiting.
 */
constexpr size_t MaxWriteBytes = size_t{128} * 1024;

/** Idle time before the first keep-alive probe. */
constexpr int KeepAliveIdleSeconds = 1;

constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 2;

void setOption(int Socket, int Level, int Name, int Value) {
  setsockopt(Socket, Level, Name, &Value, sizeof(Value));
}

/** Disables Nagle's algorithm and enables the detection of dead peers. */
void configureSocket(int Socket, Duration UnacknowledgedTimeout) {
  setOption(Socket, IPPROTO_TCP, TCP_NODELAY, 1);
  setOption(Socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(Socket, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
  setOption(Socket, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
  setOption(Socket, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
  setOption(Socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(toMilliseconds(UnacknowledgedTimeout)));
}

/** Makes close() of \a Socket send a reset. */
void setResetOnClose(int Socket) {
  const linger Reset{.l_onoff = 1, .l_linger = 0};
  setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Reset, sizeof(Reset));
}

bool wouldBlock(int Code) { return Code == EAGAIN || Code == EWOULDBLOCK; }

/** Writes the first bytes of \a Bytes; returns their number, or -1. */
ssize_t writeSome(int Socket, std::string_view Bytes,
                  size_t MaxBytes = MaxWriteBytes) {
  return ::send(Socket, Bytes.data(), std::min(Bytes.size(), MaxBytes),
                MSG_NOSIGNAL | MSG_DONTWAIT);
}

} // namespace

TcpConnection::TcpConnection(Task &Owner, int Socket, TcpEvents Events,
                             Duration UnacknowledgedTimeout)
    : Owner(Owner), Events(std::move(Events)) {
  sockaddr_in Peer{};
  socklen_t Length = sizeof(Peer);
  getpeername(Socket, reinterpret_cast<sockaddr *>(&Peer), &Length);
  this->Remote = fromSocketAddress(Peer);
  configureSocket(Socket, UnacknowledgedTimeout);
  this->adopt(Socket);
}

TcpConnection::TcpConnection(Task &Owner, const TcpConnectOptions &Options,
                             TcpEvents Events)
    : Owner(Owner), Events(std::move(Events)), Remote(Options.Remote),
      State(Phase::Connecting) {
  const int Socket =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in Local{};
  sockaddr_in Peer{};
  const bool Valid = toSocketAddress(Options.Remote, Peer);
  configureSocket(Socket, DefaultUnacknowledgedTimeout);
  if (toSocketAddress({.Ip = Options.LocalIp, .Port = 0}, Local))
    (void)bind(Socket, reinterpret_cast<const sockaddr *>(&Local),
               sizeof(Local));
  const int Status =
      connect(Socket, reinterpret_cast<const sockaddr *>(&Peer), sizeof(Peer));
  if (Socket < 0 || !Valid || (Status != 0 && errno != EINPROGRESS)) {
    if (Socket >= 0)
      close(Socket);
    Owner.post([this, AliveFlag = this->Alive] {
      if (*AliveFlag)
        this->handleClose(TcpCloseReason::ConnectFailed);
    });
    return;
  }
  this->adopt(Socket);
  this->Socket->notifyWhenWritable();
  this->ConnectTimer = std::make_unique<Timer>(
      Owner, [this] { this->handleClose(TcpCloseReason::ConnectFailed); });
  this->ConnectTimer->start(Options.ConnectTimeout);
}

TcpConnection::~TcpConnection() {
  *this->Alive = false;
  if (this->Link != nullptr) {
    this->Link->removeSender(this->LinkSender);
    this->Link->removeBacklog(this->queuedBytes());
  }
  if (this->ResetOnDestruction && this->Socket != nullptr &&
      this->Socket->isOpen())
    setResetOnClose(this->Socket->fd());
}

void TcpConnection::adopt(int Fd) {
  this->Socket = std::make_unique<Descriptor>(
      this->Owner, Fd,
      DescriptorEvents{
          .Readable = [this] { this->onReadable(); },
          .Writable = [this] { this->onWritable(); },
          .HungUp =
              [this] { this->handleClose(TcpCloseReason::ConnectionLost); }});
}

bool TcpConnection::finishConnect() {
  int Code = 0;
  socklen_t Length = sizeof(Code);
  getsockopt(this->Socket->fd(), SOL_SOCKET, SO_ERROR, &Code, &Length);
  if (Code != 0) {
    this->handleClose(TcpCloseReason::ConnectFailed);
    return false;
  }
  this->State = Phase::Ready;
  this->ConnectTimer.reset();
  const std::shared_ptr<bool> AliveFlag = this->Alive;
  // The handler may replace the events.
  const std::function<void()> Handler = this->Events.Connected;
  if (Handler)
    Handler();
  return *AliveFlag && this->isReady();
}

void TcpConnection::onReadable() {
  if (this->State == Phase::Connecting && !this->finishConnect())
    return;
  static thread_local std::array<char, ReceiveBufferBytes> Buffer;
  const std::shared_ptr<bool> AliveFlag = this->Alive;
  for (int Count = 0; Count < MaxReadsPerEvent && this->isReady(); ++Count) {
    const ssize_t Length =
        recv(this->Socket->fd(), Buffer.data(), Buffer.size(), 0);
    if (Length < 0 && wouldBlock(errno))
      return;
    if (Length <= 0) {
      this->handleClose(Length == 0 ? TcpCloseReason::PeerClosed
                                    : TcpCloseReason::ConnectionLost);
      return;
    }
    const auto Received = static_cast<size_t>(Length);
    // The handler may replace or destroy the events.
    const auto Handler = this->Events.Received;
    Handler({Buffer.data(), Received});
    if (!*AliveFlag || Received < Buffer.size())
      return;
  }
}

void TcpConnection::onWritable() {
  if (this->State == Phase::Connecting && !this->finishConnect())
    return;
  if (this->queuedBytes() == 0)
    return;
  if (this->Link != nullptr)
    this->Link->requestTurns(this->LinkSender);
  else
    this->flush();
}

void TcpConnection::send(std::string_view Bytes) {
  if (this->State == Phase::Closed)
    return;
  const bool QueueEmpty = this->queuedBytes() == 0;
  if (this->Link != nullptr) {
    if (!QueueEmpty || Bytes.size() > this->Link->pieceBytes()) {
      this->queueForLink(std::string(Bytes));
      return;
    }
    this->Link->onShortMessage(Bytes.size());
  }
  if (!QueueEmpty || !this->isReady()) {
    this->SendQueue.append(Bytes);
    return;
  }
  const ssize_t Length = writeSome(this->Socket->fd(), Bytes);
  const size_t Sent = Length > 0 ? static_cast<size_t>(Length) : 0;
  this->SentBytes += Sent;
  if (Sent == Bytes.size())
    return;
  this->SendQueue.assign(Bytes.substr(Sent));
  this->QueueOffset = 0;
  if (this->Link != nullptr)
    this->Link->addBacklog(this->queuedBytes());
  this->Socket->notifyWhenWritable();
}

void TcpConnection::sendOwned(std::string &&Bytes) {
  if (this->Link != nullptr && this->State != Phase::Closed &&
      Bytes.size() > this->Link->pieceBytes())
    this->queueForLink(std::move(Bytes));
  else
    this->send(std::string_view(Bytes));
}

void TcpConnection::setLink(LinkScheduler &NewLink) {
  this->Link = &NewLink;
  this->LinkSender = NewLink.addSender([this] { return this->writePiece(); });
}

void TcpConnection::queueForLink(std::string &&Bytes) {
  this->Link->addBacklog(Bytes.size());
  if (this->queuedBytes() == 0) {
    this->SendQueue = std::move(Bytes);
    this->QueueOffset = 0;
  } else {
    this->SendQueue.append(Bytes);
  }
  if (this->isReady())
    this->Link->requestTurns(this->LinkSender);
}

size_t TcpConnection::writePiece() {
  if (!this->isReady() || this->queuedBytes() == 0)
    return 0;
  const ssize_t Length = this->writeQueued(this->Link->pieceBytes());
  if (Length < 0 && !wouldBlock(errno)) {
    this->handleClose(TcpCloseReason::ConnectionLost);
    return 0;
  }
  const size_t Sent = Length > 0 ? static_cast<size_t>(Length) : 0;
  if (this->queuedBytes() == 0)
    this->onQueueEmpty();
  else if (Sent == 0)
    this->Socket->notifyWhenWritable();
  return Sent;
}

ssize_t TcpConnection::writeQueued(size_t MaxBytes) {
  const std::string_view Queued(this->SendQueue);
  const ssize_t Length =
      writeSome(this->Socket->fd(), Queued.substr(this->QueueOffset), MaxBytes);
  const size_t Sent = Length > 0 ? static_cast<size_t>(Length) : 0;
  this->SentBytes += Sent;
  this->DrainedBytes += Sent;
  this->QueueOffset += Sent;
  return Length;
}

void TcpConnection::flush() {
  const ssize_t Length = this->writeQueued(MaxWriteBytes);
  if (Length < 0 && !wouldBlock(errno)) {
    this->handleClose(TcpCloseReason::ConnectionLost);
    return;
  }
  if (this->queuedBytes() > 0) {
    this->Socket->notifyWhenWritable();
    return;
  }
  this->onQueueEmpty();
}

void TcpConnection::onQueueEmpty() {
  releaseMemory(this->SendQueue);
  this->QueueOffset = 0;
  // The handler may replace the events.
  const std::function<void()> Handler = this->Events.Drained;
  if (Handler)
    Handler();
}

void TcpConnection::setReadEnabled(bool Enabled) {
  if (this->Socket != nullptr)
    this->Socket->setReadEnabled(Enabled);
}

void TcpConnection::handleClose(TcpCloseReason Reason) {
  if (this->State == Phase::Closed)
    return;
  this->State = Phase::Closed;
  this->ConnectTimer.reset();
  this->Socket.reset();
  // The handler may destroy this object.
  const std::function<void(TcpCloseReason)> Handler =
      std::move(this->Events.Closed);
  if (Handler)
    Handler(Reason);
}

size_t TcpConnection::undeliveredBytes() const {
  int Unacknowledged = 0;
  const bool IsOpen = this->Socket != nullptr && this->Socket->isOpen();
  if (!IsOpen || ioctl(this->Socket->fd(), SIOCOUTQ, &Unacknowledged) != 0)
    Unacknowledged = 0;
  return this->queuedBytes() + static_cast<size_t>(Unacknowledged);
}

void TcpConnection::endSending() {
  if (this->Socket != nullptr && this->Socket->isOpen())
    shutdown(this->Socket->fd(), SHUT_WR);
}

} // namespace bluebellbarrow
