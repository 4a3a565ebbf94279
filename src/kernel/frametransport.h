#ifndef BLUEBELLBARROW_KERNEL_FRAMETRANSPORT_H
#define BLUEBELLBARROW_KERNEL_FRAMETRANSPORT_H

#include "bytebudget.h"
#include "closingconnections.h"
#include "error.h"
#include "framereader.h"
#include "ids.h"
#include "tcpconnection.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace bluebellbarrow {

class LinkScheduler;
class Task;
class TcpListener;

/** Number of a stream of a FrameTransport; never reused. */
using StreamId = StrongNumber<struct StreamIdTag>;

/** Event handlers of a FrameTransport; each is called on its task. */
struct FrameEvents {
  /** A peer opened a stream. */
  std::function<void(StreamId, const Address &)> Accepted;

  /** A stream opened with connect() is ready. */
  std::function<void(StreamId)> Connected;

  std::function<void(StreamId, Frame)> Received;

  /** The stream is closed; no other event of it follows. */
  std::function<void(StreamId)> Closed;

  /** The peer sent an invalid frame; the stream is closed afterwards. */
  std::function<void(StreamId, const Error &)> Malformed;

  /**
   * A long frame is dropped since too many bytes are held; its body is cut off
   * after the first piece. Needed with a ByteBudget only.
   */
  std::function<void(StreamId, const Frame &)> Dropped = nullptr;
};

/** Addresses and limits of a FrameTransport. */
struct FrameTransportOptions {
  std::string Name;

  /** Local address; empty for any. */
  Address LocalIp;

  /** Port to listen on; 0 to open streams only. */
  int ListenPort = 0;

  uint32_t MaxFrameBytes = 0;

  /** Bytes that may be queued on one stream; send() refuses more. */
  size_t MaxQueuedBytes = 0;

  /**
   * Paces long frames and keeps them from delaying short ones; null to send all
   * frames whole, in their order. Outlives the transport.
   */
  LinkScheduler *Link = nullptr;

  /**
   * Long frames that would exceed it are dropped; null for none. Outlives the
   * transport, which is one of its holders.
   */
  const ByteBudget *Budget = nullptr;
};

/**
 * Streams of frames over TCP: accepts streams on one port and opens streams to
 * peers. With a link, a long frame is sent in fragments: the long frames of a
 * stream take turns, and short ones overtake them.
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

  /** Returns false when ListenPort is 0 or listening failed. */
  bool isListening() const { return this->Listener != nullptr; }

  /** Opens a stream; Connected or Closed follows, never within connect(). */
  StreamId connect(const Address &Peer, int Port);

  /**
   * Queues a frame. Returns false, and queues nothing, when the stream is
   * closed or its queue is full.
   */
  bool send(StreamId Id, Frame Value);

  /** Closes the stream after the queued frames; Closed follows. */
  void close(StreamId Id);

  /**
   * Closes the stream at once; Closed follows. Queued frames are lost unless
   * the peer takes them without a stall; see ClosingConnections.
   */
  void abort(StreamId Id);

  /**
   * Returns the number of bytes received plus that of bytes written from the
   * send queue. A growing number shows that the peer is alive, also during the
   * transfer of a long frame. 0 for a closed stream.
   */
  uint64_t progressBytes(StreamId Id) const;

  /** Returns the bytes of long frames that are sent or received in part. */
  size_t heldBytes() const { return this->LongBytes + this->PartialBytes; }

  /** Returns the address of the peer; empty for a closed stream. */
  Address peerAddress(StreamId Id) const;

private:
  struct Stream;

  Stream *findStream(StreamId Id) const;
  Stream &addStream(StreamId Id);
  TcpEvents makeTcpEvents(StreamId Id);
  void accept(int Socket);
  void receive(StreamId Id, std::string_view Bytes);
  void onDrained(StreamId Id);

  /** Sends one fragment in a turn of the link; returns its size. */
  size_t sendFragment(StreamId Id);

  /**
   * Adds a fragment to its frame. Returns the frame if it is complete; sets
   * \a IsMalformed for an invalid fragment.
   */
  std::optional<Frame> addFragment(StreamId Id, Stream &Receiver,
                                   const Frame &Fragment, bool &IsMalformed);

  void removeStream(StreamId Id);

  Task &Owner;
  FrameTransportOptions Options;
  FrameEvents Events;
  std::unique_ptr<TcpListener> Listener;
  std::map<StreamId, std::unique_ptr<Stream>> Streams;
  ClosingConnections Closing;

  /** Sums over the streams. */
  size_t LongBytes = 0;
  size_t PartialBytes = 0;

  uint64_t LastStreamId = 0;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_FRAMETRANSPORT_H
