#ifndef BLUEBELLBARROW_KERNEL_DATAGRAMSOCKET_H
#define BLUEBELLBARROW_KERNEL_DATAGRAMSOCKET_H

#include "endpoint.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace bluebellbarrow {

class Descriptor;
class Task;

/**
 * A UDP socket on an IPv4 address.
 *
 * Thread safety: none; owned by one task.
 */
class DatagramSocket {
public:
  /** Receives the sender and the bytes of one datagram. */
  using ReceiveHandler =
      std::function<void(const Endpoint &, std::string_view)>;

  /**
   * Binds to \a Local; its port 0 selects a free port. After a failure
   * isBound() returns false.
   * \pre \a Owner outlives the socket.
   */
  DatagramSocket(Task &Owner, const Endpoint &Local, ReceiveHandler OnReceived);
  ~DatagramSocket();

  DatagramSocket(const DatagramSocket &) = delete;
  DatagramSocket &operator=(const DatagramSocket &) = delete;

  /** Returns false if the local address could not be bound. */
  bool isBound() const { return this->Socket != nullptr; }

  /**
   * Sends a datagram without blocking; drops it if it can't be sent at once.
   * \pre isBound().
   */
  void send(const Endpoint &Receiver, std::string_view Bytes);

private:
  void receivePending();

  ReceiveHandler OnReceived;
  std::unique_ptr<Descriptor> Socket;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_DATAGRAMSOCKET_H
