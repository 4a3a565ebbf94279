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

/** Connections taken before other descriptors get their turn. */
constexpr int MaxAcceptsInTurn = 32;

} // namespace

TcpListener::TcpListener(Task &Owner, const Endpoint &Local,
                         AcceptHandler OnAccepted)
    : OnAccepted(std::move(OnAccepted)) {
  sockaddr_in Address{};
  if (!toSocketAddress(Local, Address))
    return;
  const int Number =
      socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int On = 1;
  setsockopt(Number, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  if (bind(Number, reinterpret_cast<const sockaddr *>(&Address),
           sizeof(Address)) != 0 ||
      listen(Number, Backlog) != 0) {
    logError(LogLevel::Error, makeError(Errc::Unreachable, "listen",
                                        Local.str(), std::strerror(errno)));
    close(Number);
    return;
  }
  this->Socket = std::make_unique<Descriptor>(
      Owner, Number,
      DescriptorEvents{.Readable = [this] { this->onReadable(); },
                       .Writable = nullptr,
                       .HungUp = nullptr});
}

TcpListener::~TcpListener() = default;

void TcpListener::onReadable() {
  for (int Count = 0; Count < MaxAcceptsInTurn; ++Count) {
    const int Number = accept4(this->Socket->fd(), nullptr, nullptr,
                               SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (Number < 0)
      return;
    this->OnAccepted(Number);
  }
}

} // namespace bluebellbarrow
