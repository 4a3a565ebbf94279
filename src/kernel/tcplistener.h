#ifndef BLUEBELLBARROW_KERNEL_TCPLISTENER_H
#define BLUEBELLBARROW_KERNEL_TCPLISTENER_H

#include "endpoint.h"

#include <functional>
#include <memory>

namespace bluebellbarrow {

class Descriptor;
class Task;

/**
 * Accepts TCP connections on one address.
 *
 * Thread safety: none; owned by one task.
 */
class TcpListener {
public:
  /** Takes ownership of an accepted, non-blocking socket. */
  using AcceptHandler = std::function<void(int)>;

  /** \pre \a Owner outlives the listener. */
  TcpListener(Task &Owner, const Endpoint &Local, AcceptHandler OnAccepted);
  ~TcpListener();

  TcpListener(const TcpListener &) = delete;
  TcpListener &operator=(const TcpListener &) = delete;

  /** Returns false when listening on the address failed. */
  bool isListening() const { return this->Socket != nullptr; }

private:
  void onReadable();

  AcceptHandler OnAccepted;
  std::unique_ptr<Descriptor> Socket;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_TCPLISTENER_H
