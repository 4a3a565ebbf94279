#ifndef BLUEBELLBARROW_KERNEL_TCPCONNECTION_H
#define BLUEBELLBARROW_KERNEL_TCPCONNECTION_H

#include "clock.h"
#include "endpoint.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace bluebellbarrow {

class Descriptor;
class Task;
class Timer;

/** How a connection ended. */
enum class TcpCloseReason {
  /** The other side closed after its last byte. */
  PeerClosed,

  /** The other side reset it, or it went silent. */
  ConnectionLost,

  /** It was never established. */
  ConnectFailed,
};

/** What a connection reports; each member may destroy the connection. */
struct TcpEvents {
  std::function<void()> Connected;
  std::function<void(std::string_view)> Received;

  /** Nothing more comes; reported once, and not after close(). */
  std::function<void(TcpCloseReason)> Closed;

  /** Every byte of send() is with the system. */
  std::function<void()> Drained;
};

/** Where a connection of our own goes. */
struct TcpConnectOptions {
  /** Local address to bind; empty for any. */
  Address LocalIp;

  Endpoint Remote;

  /** Time in which it must be established. */
  Duration ConnectTimeout = seconds(1);
};

/**
 * One TCP connection. A peer that has lost power or its network is noticed
 * within a few seconds, also while nothing is sent.
 *
 * Thread safety: none; owned by one task.
 */
class TcpConnection {
public:
  /** Takes over an accepted socket. \pre \a Owner outlives the object. */
  TcpConnection(Task &Owner, int Socket, TcpEvents Events);

  /** Opens a connection; Connected or Ended follows. */
  TcpConnection(Task &Owner, const TcpConnectOptions &Options,
                TcpEvents Events);

  /** Resets the connection unless it was closed. */
  ~TcpConnection();

  TcpConnection(const TcpConnection &) = delete;
  TcpConnection &operator=(const TcpConnection &) = delete;

  /** Sends now what the system takes and the rest when there is room. */
  void send(std::string_view Bytes);

  /** Returns the bytes that the system has not taken yet. */
  size_t queuedBytes() const {
    return this->SendQueue.size() - this->QueueOffset;
  }

  /** Returns the bytes that the system has taken. */
  uint64_t sentBytes() const { return this->SentBytes; }

  /**
   * Returns the bytes that were sent after the system had no room for them: a
   * number that grows shows that the other side receives.
   */
  uint64_t drainedBytes() const { return this->DrainedBytes; }

  /** Returns true once the connection is established and not ended. */
  bool isReady() const { return this->State == Phase::Ready; }

  /** Stops or resumes Received. The end is not noticed while it is off. */
  void setReadEnabled(bool On);

  /** Returns the other side. */
  const Endpoint &remote() const { return this->Remote; }

  /**
   * Hands over a connection to be closed gently: what is queued is sent, and
   * what still comes is read and dropped until the other side has closed or
   * a second has passed, so that it sees the last bytes.
   */
  static void closeGracefully(Task &Owner,
                              std::unique_ptr<TcpConnection> Closing);

private:
  enum class Phase { Connecting, Ready, Closed };

  void adopt(int Socket);
  void onReadable();
  void onWritable();
  void flush();
  void handleClose(TcpCloseReason How);
  bool finishConnect();

  Task &Owner;
  TcpEvents Events;
  Endpoint Remote;
  std::unique_ptr<Descriptor> Socket;
  std::unique_ptr<Timer> ConnectTimer;
  Phase State = Phase::Ready;
  std::string SendQueue;

  /** Bytes of Queue that were sent. */
  size_t QueueOffset = 0;

  uint64_t SentBytes = 0;
  uint64_t DrainedBytes = 0;

  /** False once the object is destroyed; held by calls under way. */
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_TCPCONNECTION_H
