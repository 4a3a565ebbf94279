#ifndef BLUEBELLBARROW_KERNEL_FRAMETRANSPORT_H
#define BLUEBELLBARROW_KERNEL_FRAMETRANSPORT_H

#include "error.h"
#include "framereader.h"
#include "ids.h"
#include "tcpconnection.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace bluebellbarrow {

class Task;
class TcpListener;

/** Number of a stream of a FrameTransport, never used twice. */
using StreamId = StrongNumber<struct StreamIdTag>;

/** What a transport reports; each member is called on the transport's task. */
struct FrameEvents {
  /** A stream that the other side opened. */
  std::function<void(StreamId, const Address &)> Accepted;

  /** A stream of connect() is ready. */
  std::function<void(StreamId)> Connected;

  std::function<void(StreamId, const Frame &)> Received;

  /** The stream is gone; nothing more comes from it. */
  std::function<void(StreamId)> Closed;

  /** A peer broke the framing; the stream is closed afterwards. */
  std::function<void(StreamId, const Error &)> Malformed;
};

/** Where a transport listens and what it accepts. */
struct FrameTransportOptions {
  std::string Name;

  /** Local address; empty for any. */
  Address LocalIp;

  /** Port to listen on; 0 to open streams only. */
  int ListenPort = 0;

  uint32_t MaxFrameBytes = 0;

  /** Bytes that may wait on one stream; more closes it. */
  size_t MaxQueuedBytes = 0;
};

/**
 * Streams of frames over TCP: listens on one port and opens streams to others.
 *
 * Thread safety: none; owned by one task.
 */
class FrameTransport {
public:
  /** \pre \a Owner outlives the transport. */
  FrameTransport(Task &Owner, FrameTransportOptions Options,
                 FrameEvents Events);
  ~FrameTransport();

  FrameTransport(const FrameTransport &) = delete;
  FrameTransport &operator=(const FrameTransport &) = delete;

  /** Returns false when the port can't be listened on. */
  bool isListening() const { return this->Listener != nullptr; }

  /** Opens a stream; Connected or Closed follows, never within the call. */
  StreamId connect(const Address &Peer, int Port);

  /**
   * Queues \a Value. Returns false, and queues nothing, when the stream is
   * closed or its queue is full.
   */
  bool send(StreamId Stream, const Frame &Value);

  /** Closes the stream after the queued frames; Closed follows. */
  void close(StreamId Stream);

  /** Closes the stream without its queued frames; Closed follows. */
  void abort(StreamId Stream);

  /**
   * Returns the bytes that were received, and sent after the stream had to
   * wait: a number that grows shows that the other side is alive, also while
   * a long frame is on its way. 0 for a closed stream.
   */
  uint64_t progressBytes(StreamId Stream) const;

  /** Returns the address of the other side; empty for a closed stream. */
  Address peerAddress(StreamId Stream) const;

private:
  struct Stream;

  Stream *findStream(StreamId Id) const;
  Stream &addStream(StreamId Id);
  TcpEvents makeTcpEvents(StreamId Id);
  void accept(int Socket);
  void receive(StreamId Id, std::string_view Bytes);
  void onDrained(StreamId Id);
  void removeStream(StreamId Id);

  Task &Owner;
  FrameTransportOptions Options;
  FrameEvents Events;
  std::unique_ptr<TcpListener> Listener;
  std::map<StreamId, std::unique_ptr<Stream>> Streams;
  uint64_t LastStreamId = 0;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_FRAMETRANSPORT_H
