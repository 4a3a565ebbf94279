#include "tcplistener.h"

#include "descriptor.h"
#include "log.h"
#include "socketaddress.h"
#include "task.h"

#include <cerrno>
#include <cstring>
#include <sys/socket.h>
#include <unistd.h>

namespace bluebellbarrow {

namespace {

constexpr int Backlog = 511;

/** Connections accepted before other descriptors are served. */
constexpr int MaxAcceptsPerEvent = 32;

} // namespace

TcpListener::TcpListener(Task &Owner, const Endpoint &Local,
                         AcceptHandler OnAccepted)
    : OnAccepted(std::move(OnAccepted)) {
  sockaddr_in Address{};
  if (!toSocketAddress(Local, Address))
    return;
  const int Fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int Enabled = 1;
  setsockopt(Fd, SOL_SOCKET, SO_REUSEADDR, &Enabled, sizeof(Enabled));
  if (bind(Fd, reinterpret_cast<const sockaddr *>(&Address), sizeof(Address)) !=
          0 ||
      listen(Fd, Backlog) != 0) {
    logError(LogLevel::Error, makeError(Errc::Unreachable, "listen",
                                        Local.str(), std::strerror(errno)));
    close(Fd);
    return;
  }
  this->Socket = std::make_unique<Descriptor>(
      Owner, Fd,
      DescriptorEvents{.Readable = [this] { this->onReadable(); },
                       .Writable = nullptr,
                       .HungUp = nullptr});
}

TcpListener::~TcpListener() = default;

void TcpListener::onReadable() {
  for (int Count = 0; Count < MaxAcceptsPerEvent; ++Count) {
    const int Fd = accept4(this->Socket->fd(), nullptr, nullptr,
                           SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (Fd < 0)
      return;
    this->OnAccepted(Fd);
  }
}

} // namespace bluebellbarrow
