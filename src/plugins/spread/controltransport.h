#ifndef BLUEBELLBARROW_SPREAD_CONTROLTRANSPORT_H
#define BLUEBELLBARROW_SPREAD_CONTROLTRANSPORT_H

#include "controlmessages.h"
#include "kernel/clock.h"
#include "kernel/datagramsocket.h"
#include "kernel/frametransport.h"
#include "transferframecache.h"

#include <functional>
#include <map>
#include <string>

namespace bluebellbarrow {

/** Callbacks of a ControlTransport, called on its task. */
struct ControlEvents {
  std::function<void(const Address &, const ControlMessage &)> MessageReceived;
  std::function<void(const Address &, const DigestMessage &)> DigestReceived;

  /**
   * The stream to a peer closed or its queue is full; messages that were sent
   * to the peer may be lost.
   */
  std::function<void(const Address &)> SendFailed;

  /**
   * A message was sent (true) or received (false); with the name of its kind
   * and its size in bytes.
   */
  std::function<void(bool, const char *, size_t)> BytesTransferred;

  /** A malformed frame or datagram was received. */
  std::function<void(const Error &)> Malformed;
};

/**
 * The sockets of the control plane: one stream for each pair of nodes that
 * exchanges control messages, and a datagram socket for digests.
 *
 * Thread safety: none; owned by one task.
 */
class ControlTransport {
public:
  /** \pre \a Owner outlives the transport. */
  ControlTransport(Task &Owner, const Address &Ip, int Port, MeshId Mesh,
                   ControlEvents Events);

  /** Returns false when the port can't be bound for TCP and UDP. */
  bool isListening() const;

  /** Sends on the stream to \a To; connects first if there is none. */
  void send(const Address &To, const ControlMessage &Message, TimePoint Now);

  /**
   * Sends to the control port of \a To. A response that is sent from
   * ControlEvents::DigestReceived goes to the port that the query came from,
   * because a command line client queries from a port of its own.
   */
  void sendDigest(const Address &To, const DigestMessage &Message);

  /**
   * Aborts the stream to \a To, unless it has transferred bytes since the last
   * message was sent on it. Does not call SendFailed.
   */
  void resetIfStalled(const Address &To);

  /** Closes streams that have been idle longer than the idle timeout. */
  void closeIdle(TimePoint Now);

private:
  struct PeerStream {
    Address Peer;
    TimePoint LastUse;
    bool Outgoing = false;

    /** The peer's hello was received; true from the start if Outgoing. */
    bool HelloDone = false;

    /** FrameTransport::progressBytes() when the last message was sent. */
    uint64_t ProgressAtSend = 0;
  };

  void onReceived(StreamId Stream, const Frame &Value);
  void onClosed(StreamId Stream);
  void onDatagram(const Endpoint &From, std::string_view Bytes);
  StreamId findOrConnect(const Address &To, TimePoint Now);

  Task &Owner;
  int Port;
  MeshId Mesh;
  ControlEvents Events;
  FrameTransport Streams;
  DatagramSocket Datagrams;
  TransferFrameCache FrameCache;
  std::map<StreamId, PeerStream> PeerStreams;
  std::map<Address, StreamId> StreamByPeer;

  /** Sender of the datagram that is being processed. */
  Endpoint DatagramSender;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_SPREAD_CONTROLTRANSPORT_H
