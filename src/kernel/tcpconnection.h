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

/** Why a connection ended. */
enum class TcpCloseReason {
  /** The peer closed its side of the connection (end of stream). */
  PeerClosed,

  /** The peer reset the connection or is unresponsive. */
  ConnectionLost,

  /** The connection was never established. */
  ConnectFailed,
};

/**
 * Event handlers of a TcpConnection; each may destroy the connection. Received
 * must be set, the others may be empty.
 */
struct TcpEvents {
  std::function<void()> Connected;
  std::function<void(std::string_view)> Received;

  /**
   * The connection ended. Called at most once; not after closeGracefully() and
   * not by the destructor.
   */
  std::function<void(TcpCloseReason)> Closed;

  /**
   * All queued bytes were written to the socket. Follows each send() after
   * which queuedBytes() is not 0; never called within send().
   */
  std::function<void()> Drained;
};

/** Addresses and timeout of a connection to open. */
struct TcpConnectOptions {
  /** Local address to bind; empty for any. */
  Address LocalIp;

  Endpoint Remote;

  /** Time in which the connection must be established. */
  Duration ConnectTimeout = seconds(1);
};

/**
 * One TCP connection. A peer that lost power or its network is detected
 * within a few seconds, also while nothing is sent.
 *
 * Thread safety: none; owned by one task.
 */
class TcpConnection {
public:
  /**
   * Takes ownership of an accepted socket. \pre \a Owner outlives the object.
   */
  TcpConnection(Task &Owner, int Socket, TcpEvents Events);

  /** Opens a connection; Connected or Closed follows. */
  TcpConnection(Task &Owner, const TcpConnectOptions &Options,
                TcpEvents Events);

  /** Resets the connection unless it has ended. */
  ~TcpConnection();

  TcpConnection(const TcpConnection &) = delete;
  TcpConnection &operator=(const TcpConnection &) = delete;

  /**
   * Sends what the socket accepts now, up to a fixed limit, and queues the
   * rest. Has no effect after the connection ended.
   */
  void send(std::string_view Bytes);

  /** Returns the number of bytes in the send queue. */
  size_t queuedBytes() const {
    return this->SendQueue.size() - this->QueueOffset;
  }

  /** Returns the number of bytes written to the socket so far. */
  uint64_t sentBytes() const { return this->SentBytes; }

  /**
   * Returns the number of bytes written to the socket from the send queue.
   * Bytes are queued while connecting, while the socket's send buffer is full,
   * and when they exceed the limit of one send().
   */
  uint64_t drainedBytes() const { return this->DrainedBytes; }

  /** Returns true from the time the connection is established until it ends. */
  bool isReady() const { return this->State == Phase::Ready; }

  /**
   * Disables or enables reading. While it is disabled, Received is not called
   * and a close by the peer is not detected.
   */
  void setReadEnabled(bool Enabled);

  /** Returns the endpoint of the peer. */
  const Endpoint &remote() const { return this->Remote; }

  /**
   * Takes ownership of a connection and closes it gracefully: sends what is
   * queued, then reads and drops what arrives until the peer has closed or one
   * second has passed. An immediate close would reset the connection, and the
   * peer could lose the last bytes. A connection that is not established is
   * destroyed at once.
   */
  static void closeGracefully(Task &Owner,
                              std::unique_ptr<TcpConnection> Closing);

private:
  enum class Phase { Connecting, Ready, Closed };

  void adopt(int Fd);
  void onReadable();
  void onWritable();
  void flush();
  void handleClose(TcpCloseReason Reason);

  /**
   * Completes connecting. Returns false if that failed, or if the handler of
   * Connected ended or destroyed the connection.
   */
  bool finishConnect();

  Task &Owner;
  TcpEvents Events;
  Endpoint Remote;
  std::unique_ptr<Descriptor> Socket;
  std::unique_ptr<Timer> ConnectTimer;
  Phase State = Phase::Ready;
  std::string SendQueue;

  /** Bytes of SendQueue that were written to the socket. */
  size_t QueueOffset = 0;

  uint64_t SentBytes = 0;
  uint64_t DrainedBytes = 0;

  /**
   * False once the object is destroyed; shared with running handlers and posted
   * functions.
   */
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_TCPCONNECTION_H
