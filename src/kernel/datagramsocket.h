#ifndef BLUEBELLBARROW_KERNEL_DATAGRAMSOCKET_H
#define BLUEBELLBARROW_KERNEL_DATAGRAMSOCKET_H

#include "ids.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct lws;
struct lws_vhost;

namespace bluebellbarrow {

class Task;

/** The other side of a datagram. */
struct DatagramPeer {
  Address Ip;
  int Port = 0;
};

/**
 * A UDP socket on an IPv4 address.
 *
 * Thread safety: none; owned by one task.
 */
class DatagramSocket {
public:
  using Received = std::function<void(const DatagramPeer &, std::string_view)>;

  /** \a Port 0 takes any. \pre \a Owner outlives the socket. */
  DatagramSocket(Task &Owner, const Address &Ip, int Port, Received OnReceived);
  ~DatagramSocket();

  DatagramSocket(const DatagramSocket &) = delete;
  DatagramSocket &operator=(const DatagramSocket &) = delete;

  /** Returns false when the address can't be bound. */
  bool bound() const { return this->Wsi != nullptr; }

  /** Sends a datagram; one that can't be sent at once is lost. */
  void send(const DatagramPeer &To, std::string_view Bytes);

  /** Handles readable data; not for other callers. */
  void receiveAll();

private:
  Task &Owner;
  Received OnReceived;
  lws_vhost *Vhost = nullptr;
  lws *Wsi = nullptr;
  int Descriptor = -1;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_DATAGRAMSOCKET_H
