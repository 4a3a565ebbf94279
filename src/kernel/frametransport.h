#ifndef BLUEBELLBARROW_KERNEL_FRAMETRANSPORT_H
#define BLUEBELLBARROW_KERNEL_FRAMETRANSPORT_H

#include "error.h"
#include "framereader.h"
#include "ids.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

struct lws;
struct lws_vhost;

namespace bluebellbarrow {

class Task;

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
  Address Ip;

  /** Port to listen on; 0 to open streams only. */
  int Port = 0;

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
  bool listening() const { return this->Vhost != nullptr; }

  /** Opens a stream; Connected or Closed follows, never within the call. */
  StreamId connect(const Address &Peer, int Port);

  /**
   * Queues \a Value. Returns false, and queues nothing, when the stream is
   * closed or its queue is full.
   */
  bool send(StreamId Stream, const Frame &Value);

  /** Closes the stream after the queued frames; Closed follows. */
  void close(StreamId Stream);

  /** Returns the address of the other side; empty for a closed stream. */
  Address peer(StreamId Stream) const;

  uint64_t bytesSent() const { return this->BytesSent; }

  uint64_t bytesReceived() const { return this->BytesReceived; }

  /** Handles an event of the library; not for other callers. */
  int handleEvent(lws *Wsi, int Reason, void *In, size_t Length);

private:
  struct Stream;

  Stream *find(StreamId Id) const;

  /** Returns the stream of a socket; null once it is detached. */
  static Stream *streamOf(lws *Wsi);

  Stream &addStream(const Address &Peer);

  /** Hands bytes to the system at once, if none wait; returns how many. */
  size_t sendNow(const Stream &Target, const std::string &Bytes);

  int accept(lws *Wsi);
  int receive(lws *Wsi, const char *Data, size_t Length);
  int write(lws *Wsi);
  void detach(Stream &Gone);
  void drop(StreamId Id);

  Task &Owner;
  FrameTransportOptions Options;
  FrameEvents Events;
  lws_vhost *Vhost = nullptr;
  std::map<StreamId, std::unique_ptr<Stream>> Streams;
  uint64_t LastStream = 0;
  uint64_t BytesSent = 0;
  uint64_t BytesReceived = 0;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_FRAMETRANSPORT_H
