#ifndef BLUEBELLBARROW_KERNEL_TCPCONNECTION_H
#define BLUEBELLBARROW_KERNEL_TCPCONNECTION_H

#include "clock.h"
#include "endpoint.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <sys/types.h>

namespace bluebellbarrow {

class Descriptor;
class LinkScheduler;
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

/** Time after which unacknowledged bytes end a connection by default. */
inline constexpr Duration DefaultUnacknowledgedTimeout = seconds(3);

/**
 * One TCP connection. A peer that lost power or its network is detected
 * within a few seconds while nothing is sent, and after the timeout for
 * unacknowledged bytes otherwise.
 *
 * Thread safety: none; owned by one task.
 */
class TcpConnection {
public:
  /**
   * Takes ownership of an accepted socket. A peer that reads too slowly for
   * \a UnacknowledgedTimeout also loses the connection; zero leaves that to
   * the owner, see SendProgress. \pre \a Owner outlives the object.
   */
  TcpConnection(Task &Owner, int Socket, TcpEvents Events,
                Duration UnacknowledgedTimeout = DefaultUnacknowledgedTimeout);

  /** Opens a connection; Connected or Closed follows. */
  TcpConnection(Task &Owner, const TcpConnectOptions &Options,
                TcpEvents Events);

  /**
   * Resets the connection unless it has ended or setResetOnDestruction() says
   * otherwise.
   */
  ~TcpConnection();

  TcpConnection(const TcpConnection &) = delete;
  TcpConnection &operator=(const TcpConnection &) = delete;

  /**
   * Sends what the socket accepts now, up to a fixed limit, and queues the
   * rest. Has no effect after the connection ended.
   */
  void send(std::string_view Bytes);

  /** As send(); takes over a long text instead of copying it. */
  void sendOwned(std::string &&Bytes);

  /**
   * From now on, long messages are queued and written at the pace of \a Link.
   *
   * \pre \a Link outlives the connection.
   */
  void setLink(LinkScheduler &Link);

  /** Returns the number of bytes in the send queue. */
  size_t queuedBytes() const {
    return this->SendQueue.size() - this->QueueOffset;
  }

  /**
   * Returns the bytes of memory of the send queue, which is released once all
   * of it is written.
   */
  size_t heldBytes() const { return this->SendQueue.size(); }

  /**
   * Returns the bytes that the peer has not acknowledged, including the send
   * queue. Makes a system call.
   */
  size_t undeliveredBytes() const;

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

  /** Replaces the event handlers. */
  void setEvents(TcpEvents NewEvents) { this->Events = std::move(NewEvents); }

  /**
   * Tells the peer that no bytes follow; reading goes on. \pre queuedBytes() is
   * 0.
   */
  void endSending();

  /** Sets whether the destructor resets the connection or closes it. */
  void setResetOnDestruction(bool Enabled) {
    this->ResetOnDestruction = Enabled;
  }

private:
  enum class Phase { Connecting, Ready, Closed };

  void adopt(int Fd);
  void onReadable();
  void onWritable();
  void flush();

  /** Writes the first queued bytes; returns their number, or -1. */
  ssize_t writeQueued(size_t MaxBytes);

  /** Writes one piece in a turn of the link; returns its size. */
  size_t writePiece();

  /** Queues \a Bytes and requests turns of the link. */
  void queueForLink(std::string &&Bytes);

  void onQueueEmpty();
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

  /** Null without setLink(). */
  LinkScheduler *Link = nullptr;

  /** Number of this connection at Link. */
  uint64_t LinkSender = 0;

  bool ResetOnDestruction = true;

  /**
   * False once the object is destroyed; shared with running handlers and posted
   * functions.
   */
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_TCPCONNECTION_H
