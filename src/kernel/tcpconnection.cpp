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
        this->end(TcpEnd::Unreachable);
    });
    return;
  }
  this->adopt(Socket);
  this->Socket->awaitWritable();
  this->ConnectLimit = std::make_unique<Timer>(
      Owner, [this] { this->end(TcpEnd::Unreachable); });
  this->ConnectLimit->start(Options.Limit);
}

TcpConnection::~TcpConnection() {
  *this->Alive = false;
  if (this->Socket != nullptr && this->Socket->open())
    resetOnClose(this->Socket->number());
}

void TcpConnection::adopt(int Number) {
  this->Socket = std::make_unique<Descriptor>(
      this->Owner, Number,
      DescriptorEvents{.Readable = [this] { this->onReadable(); },
                       .Writable = [this] { this->onWritable(); },
                       .HungUp = [this] { this->end(TcpEnd::Broken); }});
}

bool TcpConnection::finishConnect() {
  int Code = 0;
  socklen_t Length = sizeof(Code);
  getsockopt(this->Socket->number(), SOL_SOCKET, SO_ERROR, &Code, &Length);
  if (Code != 0) {
    this->end(TcpEnd::Unreachable);
    return false;
  }
  this->State = Phase::Ready;
  this->ConnectLimit.reset();
  const std::shared_ptr<bool> Living = this->Alive;
  if (this->Events.Connected)
    this->Events.Connected();
  return *Living && this->ready();
}

void TcpConnection::onReadable() {
  if (this->State == Phase::Connecting && !this->finishConnect())
    return;
  static thread_local std::array<char, ReceiveBytes> Buffer;
  const std::shared_ptr<bool> Living = this->Alive;
  for (int Count = 0; Count < MaxReadsInTurn && this->ready(); ++Count) {
    const ssize_t Length =
        recv(this->Socket->number(), Buffer.data(), Buffer.size(), 0);
    if (Length < 0 && wouldBlock(errno))
      return;
    if (Length <= 0) {
      this->end(Length == 0 ? TcpEnd::Finished : TcpEnd::Broken);
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
  if (this->queued() == 0)
    return;
  this->flush();
}

void TcpConnection::send(std::string_view Bytes) {
  if (this->State == Phase::Ended)
    return;
  const bool Idle = this->queued() == 0;
  if (!Idle || !this->ready()) {
    this->Queue.append(Bytes);
    return;
  }
  const ssize_t Length = ::send(this->Socket->number(), Bytes.data(),
                                Bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  const size_t Taken = Length > 0 ? static_cast<size_t>(Length) : 0;
  this->SentBytes += Taken;
  if (Taken == Bytes.size())
    return;
  this->Queue.assign(Bytes.substr(Taken));
  this->Sent = 0;
  this->Socket->awaitWritable();
}

void TcpConnection::flush() {
  const ssize_t Length =
      ::send(this->Socket->number(), this->Queue.data() + this->Sent,
             this->queued(), MSG_NOSIGNAL | MSG_DONTWAIT);
  if (Length < 0 && !wouldBlock(errno)) {
    this->end(TcpEnd::Broken);
    return;
  }
  const size_t Taken = Length > 0 ? static_cast<size_t>(Length) : 0;
  this->SentBytes += Taken;
  this->DrainedBytes += Taken;
  this->Sent += Taken;
  if (this->queued() > 0) {
    this->Socket->awaitWritable();
    return;
  }
  this->Queue = std::string();
  this->Sent = 0;
  if (this->Events.Drained)
    this->Events.Drained();
}

void TcpConnection::setReading(bool On) {
  if (this->Socket != nullptr)
    this->Socket->setReading(On);
}

void TcpConnection::end(TcpEnd How) {
  if (this->State == Phase::Ended)
    return;
  this->State = Phase::Ended;
  this->ConnectLimit.reset();
  this->Socket.reset();
  // The handler may destroy this object.
  const std::function<void(TcpEnd)> Handler = std::move(this->Events.Ended);
  if (Handler)
    Handler(How);
}

void TcpConnection::closeGently(Task &Owner,
                                std::unique_ptr<TcpConnection> Closing) {
  if (Closing == nullptr || !Closing->ready())
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
    if (Target.Socket != nullptr && Target.Socket->open())
      shutdown(Target.Socket->number(), SHUT_WR);
  };
  Target.Events = {.Connected = nullptr,
                   .Received = [](std::string_view) {},
                   .Ended = [Drop](TcpEnd) { Drop(); },
                   .Drained = FinishSending};
  Entry->Limit = std::make_unique<Timer>(Owner, Drop);
  Entry->Limit->start(LingerLimit);
  Target.setReading(true);
  if (Target.queued() == 0)
    FinishSending();
}

} // namespace bluebellbarrow
