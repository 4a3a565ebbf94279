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

/** What the links report; each member is called on the links' task. */
struct ControlEvents {
  std::function<void(const Address &, const ControlMessage &)> MessageReceived;
  std::function<void(const Address &, const DigestMessage &)> DigestReceived;

  /** Messages to this node may be lost. */
  std::function<void(const Address &)> SendFailed;

  /** Bytes of one cause were sent (true) or received. */
  std::function<void(bool, const char *, size_t)> BytesTransferred;

  /** Something malformed was received. */
  std::function<void(const Error &)> Malformed;
};

/**
 * The sockets of the control plane: one stream for each pair of nodes that
 * has something to say, and datagrams.
 *
 * Thread safety: none; owned by one task.
 */
class ControlTransport {
public:
  /** \pre \a Owner outlives the links. */
  ControlTransport(Task &Owner, const Address &Ip, int Port, MeshId Mesh,
                   ControlEvents Events);

  /** Returns false when the port can't be bound. */
  bool listening() const;

  void send(const Address &To, const ControlMessage &Message, TimePoint Now);

  /** Sends to the node's control port, or answers an observer at its own. */
  void sendDigest(const Address &To, const DigestMessage &Message);

  /**
   * Gives up the stream to \a To, unless bytes have moved on it since the last
   * message was sent on it.
   */
  void resetIfStalled(const Address &To);

  /** Closes streams that were idle for long. */
  void closeIdle(TimePoint Now);

private:
  struct PeerStream {
    Address Peer;
    TimePoint LastUse;
    bool Outgoing = false;
    bool HelloDone = false;

    /** Progress of the stream when the last message was sent on it. */
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

  /** Sender of the datagram that is being handled. */
  Endpoint DatagramSender;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_SPREAD_CONTROLTRANSPORT_H
