#include "tcpconnection.h"

#include "descriptor.h"
#include "socketaddress.h"
#include "task.h"

#include <array>
#include <cerrno>
#include <list>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace bluebellbarrow {

namespace {

/** Bytes taken from the system at once. */
constexpr size_t ReceiveBytes = size_t{64} * 1024;

/** Reads of one connection before the others get their turn. */
constexpr int MaxReadsInTurn = 4;

/** Time after which unacknowledged bytes end the connection. */
constexpr int UserTimeoutMs = 3000;

/** Seconds of silence before the system asks whether the peer lives. */
constexpr int KeepAliveIdleSeconds = 1;

constexpr int KeepAliveIntervalSeconds = 1;
constexpr int KeepAliveProbes = 2;

/** Longest time in which a closed connection is still read. */
constexpr Duration LingerLimit = seconds(1);

void setOption(int Socket, int Level, int Name, int Value) {
  setsockopt(Socket, Level, Name, &Value, sizeof(Value));
}

void setLiveness(int Socket) {
  setOption(Socket, IPPROTO_TCP, TCP_NODELAY, 1);
  setOption(Socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  setOption(Socket, IPPROTO_TCP, TCP_KEEPIDLE, KeepAliveIdleSeconds);
  setOption(Socket, IPPROTO_TCP, TCP_KEEPINTVL, KeepAliveIntervalSeconds);
  setOption(Socket, IPPROTO_TCP, TCP_KEEPCNT, KeepAliveProbes);
  setOption(Socket, IPPROTO_TCP, TCP_USER_TIMEOUT, UserTimeoutMs);
}

/** Makes the close of \a Socket a reset. */
void resetOnClose(int Socket) {
  const linger Reset{.l_onoff = 1, .l_linger = 0};
  setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Reset, sizeof(Reset));
}

bool wouldBlock(int Code) { return Code == EAGAIN || Code == EWOULDBLOCK; }

/** A connection that is being closed. */
struct Lingering {
  std::unique_ptr<TcpConnection> Connection;
  std::unique_ptr<Timer> Limit;
};

} // namespace

TcpConnection::TcpConnection(Task &Owner, int Socket, TcpEvents Events)
    : Owner(Owner), Events(std::move(Events)) {
  sockaddr_in Peer{};
  socklen_t Length = sizeof(Peer);
  getpeername(Socket, reinterpret_cast<sockaddr *>(&Peer), &Length);
  this->Remote = fromSocketAddress(Peer);
  setLiveness(Socket);
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
  const bool Known = toSocketAddress(Options.Remote, Peer);
  setLiveness(Socket);
  if (toSocketAddress({.Ip = Options.LocalIp, .Port = 0}, Local))
    (void)bind(Socket, reinterpret_cast<const sockaddr *>(&Local),
               sizeof(Local));
  const int Started =
      connect(Socket, reinterpret_cast<const sockaddr *>(&Peer), sizeof(Peer));
  if (Socket < 0 || !Known || (Started != 0 && errno != EINPROGRESS)) {
    if (Socket >= 0)
      close(Socket);
    Owner.post([this, Living = this->Alive] {
      if (*Living)
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
  if (this->Socket != nullptr && this->Socket->isOpen())
    resetOnClose(this->Socket->fd());
}

void TcpConnection::adopt(int Number) {
  this->Socket = std::make_unique<Descriptor>(
      this->Owner, Number,
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
  const std::shared_ptr<bool> Living = this->Alive;
  if (this->Events.Connected)
    this->Events.Connected();
  return *Living && this->isReady();
}

void TcpConnection::onReadable() {
  if (this->State == Phase::Connecting && !this->finishConnect())
    return;
  static thread_local std::array<char, ReceiveBytes> Buffer;
  const std::shared_ptr<bool> Living = this->Alive;
  for (int Count = 0; Count < MaxReadsInTurn && this->isReady(); ++Count) {
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
    if (!*Living || Received < Buffer.size())
      return;
  }
}

void TcpConnection::onWritable() {
  if (this->State == Phase::Connecting && !this->finishConnect())
    return;
  if (this->queuedBytes() == 0)
    return;
  this->flush();
}

void TcpConnection::send(std::string_view Bytes) {
  if (this->State == Phase::Closed)
    return;
  const bool Idle = this->queuedBytes() == 0;
  if (!Idle || !this->isReady()) {
    this->SendQueue.append(Bytes);
    return;
  }
  const ssize_t Length = ::send(this->Socket->fd(), Bytes.data(), Bytes.size(),
                                MSG_NOSIGNAL | MSG_DONTWAIT);
  const size_t Taken = Length > 0 ? static_cast<size_t>(Length) : 0;
  this->SentBytes += Taken;
  if (Taken == Bytes.size())
    return;
  this->SendQueue.assign(Bytes.substr(Taken));
  this->QueueOffset = 0;
  this->Socket->notifyWhenWritable();
}

void TcpConnection::flush() {
  const ssize_t Length =
      ::send(this->Socket->fd(), this->SendQueue.data() + this->QueueOffset,
             this->queuedBytes(), MSG_NOSIGNAL | MSG_DONTWAIT);
  if (Length < 0 && !wouldBlock(errno)) {
    this->handleClose(TcpCloseReason::ConnectionLost);
    return;
  }
  const size_t Taken = Length > 0 ? static_cast<size_t>(Length) : 0;
  this->SentBytes += Taken;
  this->DrainedBytes += Taken;
  this->QueueOffset += Taken;
  if (this->queuedBytes() > 0) {
    this->Socket->notifyWhenWritable();
    return;
  }
  this->SendQueue = std::string();
  this->QueueOffset = 0;
  if (this->Events.Drained)
    this->Events.Drained();
}

void TcpConnection::setReadEnabled(bool On) {
  if (this->Socket != nullptr)
    this->Socket->setReadEnabled(On);
}

void TcpConnection::handleClose(TcpCloseReason How) {
  if (this->State == Phase::Closed)
    return;
  this->State = Phase::Closed;
  this->ConnectTimer.reset();
  this->Socket.reset();
  // The handler may destroy this object.
  const std::function<void(TcpCloseReason)> Handler =
      std::move(this->Events.Closed);
  if (Handler)
    Handler(How);
}

void TcpConnection::closeGracefully(Task &Owner,
                                    std::unique_ptr<TcpConnection> Closing) {
  if (Closing == nullptr || !Closing->isReady())
    return;
  auto Entry = std::make_shared<Lingering>();
  TcpConnection &Target = *Closing;
  Entry->Connection = std::move(Closing);
  // The entry is dropped on the task, never within a call of the connection.
  const auto Drop = [Entry, &Owner] {
    Owner.post([Entry] {
      Entry->Limit.reset();
      Entry->Connection.reset();
    });
  };
  const auto FinishSending = [&Target] {
    if (Target.Socket != nullptr && Target.Socket->isOpen())
      shutdown(Target.Socket->fd(), SHUT_WR);
  };
  Target.Events = {.Connected = nullptr,
                   .Received = [](std::string_view) {},
                   .Closed = [Drop](TcpCloseReason) { Drop(); },
                   .Drained = FinishSending};
  Entry->Limit = std::make_unique<Timer>(Owner, Drop);
  Entry->Limit->start(LingerLimit);
  Target.setReadEnabled(true);
  if (Target.queuedBytes() == 0)
    FinishSending();
}

} // namespace bluebellbarrow
