#include "datagramsocket.h"

#include "descriptor.h"
#include "log.h"
#include "socketaddress.h"
#include "task.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <sys/socket.h>
#include <unistd.h>

namespace bluebellbarrow {

namespace {

constexpr size_t MaxDatagramBytes = 65536;
constexpr int ReceiveBufferBytes = 1024 * 1024;

} // namespace

DatagramSocket::DatagramSocket(Task &Owner, const Endpoint &Local,
                               ReceiveHandler OnReceived)
    : OnReceived(std::move(OnReceived)) {
  sockaddr_in LocalAddress{};
  if (!toSocketAddress(Local, LocalAddress))
    return;
  const int Fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  setsockopt(Fd, SOL_SOCKET, SO_RCVBUF, &ReceiveBufferBytes,
             sizeof(ReceiveBufferBytes));
  if (bind(Fd, reinterpret_cast<const sockaddr *>(&LocalAddress),
           sizeof(LocalAddress)) != 0) {
    logError(LogLevel::Error,
             makeError(Errc::Unreachable, "bind datagram socket", Local.str(),
                       std::strerror(errno)));
    close(Fd);
    return;
  }
  this->Socket = std::make_unique<Descriptor>(
      Owner, Fd,
      DescriptorEvents{.Readable = [this] { this->receivePending(); },
                       .Writable = nullptr,
                       .HungUp = nullptr});
}

DatagramSocket::~DatagramSocket() = default;

void DatagramSocket::send(const Endpoint &Receiver, std::string_view Bytes) {
  sockaddr_in Remote{};
  if (!toSocketAddress(Receiver, Remote))
    return;
  sendto(this->Socket->fd(), Bytes.data(), Bytes.size(), MSG_NOSIGNAL,
         reinterpret_cast<const sockaddr *>(&Remote), sizeof(Remote));
}

void DatagramSocket::receivePending() {
  static thread_local std::array<char, MaxDatagramBytes> Buffer;
  while (true) {
    sockaddr_in Remote{};
    socklen_t Length = sizeof(Remote);
    const ssize_t Received =
        recvfrom(this->Socket->fd(), Buffer.data(), Buffer.size(), 0,
                 reinterpret_cast<sockaddr *>(&Remote), &Length);
    if (Received < 0)
      return;
    this->OnReceived(fromSocketAddress(Remote),
                     {Buffer.data(), static_cast<size_t>(Received)});
  }
}

} // namespace bluebellbarrow
