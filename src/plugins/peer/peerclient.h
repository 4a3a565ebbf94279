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
 * What a client reports; each member is called on the client's task and never
 * within a call of the client.
 */
struct PeerClientEvents {
  std::function<void(const ReplyMessage &)> Reply;
  std::function<void(const CancelReplyMessage &)> CancelReply;

  /** The target takes unusually long for the request, or its node is silent. */
  std::function<void(RequestNumber)> Overdue;

  /** Nothing of the request was handed to the system. */
  std::function<void(RequestNumber)> NotSent;

  /** The stream broke after the request may have been sent. */
  std::function<void(RequestNumber)> Lost;

  std::function<void(const VmName &, const LoadReport &)> Load;

  /** A peer with open requests has become silent, or was heard again. */
  std::function<void(const VmName &, bool)> Unresponsive;

  /** A peer sent something malformed. */
  std::function<void(const Error &)> Malformed;
};

/** Who this node is for its peers. */
struct PeerIdentity {
  MeshId Mesh;
  VmName Name;
  IncarnationId Incarnation;
};

/**
 * Sends calls to the nodes of upstreams, over one stream for each.
 *
 * A stream is used only after the peer has said which life it is in, and every
 * request names that life. Thread safety: none; owned by one task.
 */
class PeerClient {
public:
  /** \pre \a Owner outlives the client. */
  PeerClient(Task &Owner, const Address &LocalIp, int PeerPort,
             PeerIdentity Self, PeerClientEvents Events);

  /** Sends a request; the client fills in ForLife. */
  void sendRequest(const Vm &Upstream, RequestMessage Message, TimePoint Now);

  /**
   * Asks about a request that sendRequest() was given. Lost or CancelReply
   * follows; NotSent when the request itself still waited for the stream.
   * With \a Stop the request is forgotten, and nothing follows.
   */
  void sendCancel(const Vm &Upstream, RequestNumber Number, bool Stop,
                  TimePoint Now);

  /** Forgets a request; nothing more is reported for it. */
  void removeRequest(RequestNumber Number);

  /**
   * Reports peers that are silent while requests are open. Closes streams
   * whose peer does not greet or stays silent, and idle ones.
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
    TimePoint LastReceivedAt;

    /** FrameTransport::progress() when the stream was last looked at. */
    uint64_t LastProgress = 0;

    /** When a ping was sent that is not answered; none when unset. */
    std::optional<TimePoint> PingSentAt;

    /** Requests that were written and have not ended. */
    size_t InFlight = 0;

    std::vector<PendingMessage> PendingMessages;
    bool HelloReceived = false;

    /** A ping was not answered in time, and nothing was heard since. */
    bool Unresponsive = false;
  };

  /** What is known of a request that has not ended. */
  struct OpenRequest {
    StreamId Stream;
    IncarnationId ExpectedIncarnation;
    bool Written = false;
  };

  Connection &findOrConnect(const Vm &Upstream, StreamId &Stream,
                            TimePoint Now);
  void onReceived(StreamId Stream, const Frame &Value);
  void reportNotSent(RequestNumber Number);
  void checkLiveness(StreamId Stream, Connection &Target, TimePoint Now);
  void markUnresponsive(StreamId Stream, Connection &Target, TimePoint Now);
  void markResponsive(Connection &Source, TimePoint Now);
  bool onHello(StreamId Stream, Connection &Source, const Frame &Value);
  void onClosed(StreamId Stream);
  void writeRequest(StreamId Stream, Connection &Target,
                    RequestMessage &Message);
  void rejectMalformed(StreamId Stream, const Connection &Source,
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
