#ifndef BLUEBELLBARROW_PEER_PEERSERVER_H
#define BLUEBELLBARROW_PEER_PEERSERVER_H

#include "kernel/frametransport.h"
#include "peerclient.h"
#include "peermessages.h"
#include "plugins/admission/seenrequests.h"

#include <functional>
#include <map>

namespace bluebellbarrow {

/** Events of a PeerServer, called on its task. */
struct PeerServerEvents {
  std::function<void(StreamId, const RequestKey &, const RequestMessage &)>
      Request;
  std::function<void(StreamId, const RequestKey &, const CancelMessage &)>
      Cancel;

  /** Returns the load to send in hello and pong messages. */
  std::function<LoadReport()> CurrentLoad;

  std::function<void(const Error &)> Malformed;
};

/**
 * Receives requests of other nodes. Requests for another incarnation of this
 * process are refused without an event.
 *
 * Thread safety: none; owned by one task.
 */
class PeerServer {
public:
  /**
   * \a Link and \a Budget may be null, see FrameTransportOptions. \pre \a Owner
   * and they outlive the server.
   */
  PeerServer(Task &Owner, const Address &Ip, int Port, PeerIdentity Self,
             PeerServerEvents Events, LinkScheduler *Link = nullptr,
             const ByteBudget *Budget = nullptr);

  /** Returns the bytes of long messages that are sent or received in part. */
  size_t heldBytes() const { return this->Transport.heldBytes(); }

  bool isListening() const { return this->Transport.isListening(); }

  /** Sends the outcome of a request; dropped when the stream has closed. */
  void sendReply(StreamId Stream, ReplyMessage Message);

  void sendCancelReply(StreamId Stream, const CancelReplyMessage &Message);

  /** Reports that a request takes unusually long. */
  void sendOverdue(StreamId Stream, RequestNumber Number);

private:
  struct Client {
    VmName Name;
    IncarnationId Incarnation;
  };

  void onReceived(StreamId Stream, const Frame &Incoming);
  /** Refuses the request that there is no room for. */
  void onRequestDropped(StreamId Stream, const Frame &Start);

  void onHello(StreamId Stream, const Frame &Incoming);
  void onRequest(StreamId Stream, const Client &Sender,
                 const RequestMessage &Message);
  void onCancel(StreamId Stream, const Client &Sender,
                const CancelMessage &Message);
  void rejectMalformed(StreamId Stream, const char *Detail);

  PeerIdentity Self;
  PeerServerEvents Events;
  FrameTransport Transport;
  std::map<StreamId, Client> Clients;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_PEER_PEERSERVER_H
