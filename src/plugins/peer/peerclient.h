#ifndef BLUEBELLBARROW_PEER_PEERCLIENT_H
#define BLUEBELLBARROW_PEER_PEERCLIENT_H

#include "kernel/clock.h"
#include "kernel/frametransport.h"
#include "peermessages.h"
#include "tree/vmlist.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bluebellbarrow {

/**
 * Events of a PeerClient, called on its task. Only Unresponsive is called
 * within a call of the client, in poll().
 */
struct PeerClientEvents {
  std::function<void(ReplyMessage)> Reply;
  std::function<void(const CancelReplyMessage &)> CancelReply;

  /** The target takes unusually long, or its node is unresponsive. */
  std::function<void(RequestNumber)> Overdue;

  /** No byte of the request was passed to the operating system. */
  std::function<void(RequestNumber)> NotSent;

  /**
   * The stream broke after the request may have been sent. The request can
   * still be cancelled, until it is removed.
   */
  std::function<void(RequestNumber)> Lost;

  std::function<void(const VmName &, const LoadReport &)> Load;

  /**
   * True: a peer with open requests became unresponsive. False: it responds
   * again, or its stream has closed.
   */
  std::function<void(const VmName &, bool)> Unresponsive;

  /** A peer sent a malformed message. */
  std::function<void(const Error &)> Malformed;
};

/** Identity of this node towards its peers. */
struct PeerIdentity {
  MeshId Mesh;
  VmName Name;
  IncarnationId Incarnation;
};

/**
 * Sends requests to the nodes of upstreams, over one stream for each node.
 *
 * Requests are sent only after the peer's hello has named its incarnation, and
 * each request names that incarnation, so that a restarted process refuses it.
 *
 * Thread safety: none; owned by one task.
 */
class PeerClient {
public:
  /**
   * \a Link and \a Budget may be null, see FrameTransportOptions. \pre \a Owner
   * and they outlive the client.
   */
  PeerClient(Task &Owner, const Address &LocalIp, int PeerPort,
             PeerIdentity Self, PeerClientEvents Events,
             LinkScheduler *Link = nullptr, const ByteBudget *Budget = nullptr);

  /** Returns the bytes of long messages that are sent or received in part. */
  size_t heldBytes() const { return this->Transport.heldBytes(); }

  /** Sends a request; the client sets ExpectedIncarnation. */
  void sendRequest(const Vm &Upstream, RequestMessage Message, TimePoint Now);

  /**
   * Cancels a request of sendRequest(). CancelReply or Lost follows, or NotSent
   * when the request was not written yet. With \a Stop the request is removed
   * and nothing follows.
   */
  void sendCancel(const Vm &Upstream, RequestNumber Number, bool Stop,
                  TimePoint Now);

  /** Removes a request; nothing more is reported for it. */
  void removeRequest(RequestNumber Number);

  /**
   * Reports peers that are unresponsive while requests are open. Closes idle
   * streams, and those whose peer sends no hello or stays unresponsive.
   */
  void poll(TimePoint Now);

private:
  using PendingMessage = std::variant<RequestMessage, CancelMessage>;

  struct Connection {
    VmName Name;
    Address Ip;
    IncarnationId Incarnation;
    TimePoint OpenedAt;
    TimePoint LastUsedAt;

    /** When bytes were last received or taken from the send queue. */
    TimePoint LastProgressAt;

    /** FrameTransport::progressBytes() at the last check. */
    uint64_t LastProgress = 0;

    /** When the unanswered ping was sent; unset without one. */
    std::optional<TimePoint> PingSentAt;

    /** Requests that were written and are still open. */
    size_t InFlight = 0;

    std::vector<PendingMessage> PendingMessages;
    bool HelloReceived = false;

    /** A ping timed out, and there was no progress since. */
    bool Unresponsive = false;
  };

  /** A request without a reply. */
  struct OpenRequest {
    StreamId Stream;
    IncarnationId ExpectedIncarnation;
    bool Written = false;
  };

  Connection &findOrConnect(const Vm &Upstream, StreamId &Stream,
                            TimePoint Now);
  void onReceived(StreamId Stream, Frame Value);

  /** Ends the request whose reply there is no room for. */
  void onReplyDropped(StreamId Stream, const Frame &Start);

  /** Removes the request of a reply and reports it, unless it is unknown. */
  void reportReply(StreamId Stream, ReplyMessage Reply);
  void reportNotSent(RequestNumber Number);
  void checkLiveness(StreamId Stream, Connection &Peer, TimePoint Now);
  void markUnresponsive(StreamId Stream, Connection &Peer, TimePoint Now);
  void markResponsive(Connection &Peer, TimePoint Now);
  bool onHello(StreamId Stream, Connection &Peer, const Frame &Value);
  void onClosed(StreamId Stream);
  void writeRequest(StreamId Stream, Connection &Peer, RequestMessage &Message);
  void rejectMalformed(StreamId Stream, const Connection &Peer,
                       const char *Detail);

  Task &Owner;
  int PeerPort;
  PeerIdentity Self;
  PeerClientEvents Events;
  FrameTransport Transport;
  std::map<StreamId, Connection> Connections;
  std::map<VmName, StreamId> StreamsByName;
  std::map<RequestNumber, OpenRequest> Requests;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_PEER_PEERCLIENT_H
