#include "rawserver.h"

#include <arpa/inet.h>
#include <array>
#include <chrono>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace bluebellbarrow {

namespace {

/** Time between the last bytes and a reset, so that the bytes arrive. */
constexpr std::chrono::milliseconds ResetDelay(50);

} // namespace

RawServer::RawServer(const std::string &Address, RequestHandler OnRequest)
    : OnRequest(std::move(OnRequest)),
      ListenFd(socket(AF_INET, SOCK_STREAM, 0)) {
  sockaddr_in Local{};
  Local.sin_family = AF_INET;
  inet_pton(AF_INET, Address.c_str(), &Local.sin_addr);
  if (bind(this->ListenFd, reinterpret_cast<sockaddr *>(&Local),
           sizeof(Local)) != 0)
    return;
  listen(this->ListenFd, 16);
  socklen_t Length = sizeof(Local);
  getsockname(this->ListenFd, reinterpret_cast<sockaddr *>(&Local), &Length);
  this->Port = ntohs(Local.sin_port);
  this->Thread = std::thread([this] { this->serve(); });
}

RawServer::~RawServer() {
  this->Stopping = true;
  if (this->Thread.joinable())
    this->Thread.join();
  close(this->ListenFd);
}

void RawServer::serve() {
  std::vector<std::thread> ConnectionThreads;
  while (!this->Stopping) {
    pollfd Poll{.fd = this->ListenFd, .events = POLLIN, .revents = 0};
    if (poll(&Poll, 1, 20) <= 0)
      continue;
    const int Socket = accept(this->ListenFd, nullptr, nullptr);
    this->Connections += 1;
    ConnectionThreads.emplace_back(
        [this, Socket] { this->serveConnection(Socket); });
  }
  for (std::thread &Thread : ConnectionThreads)
    Thread.join();
}

void RawServer::serveConnection(int Socket) {
  std::string Received;
  while (!this->Stopping) {
    pollfd Poll{.fd = Socket, .events = POLLIN, .revents = 0};
    if (poll(&Poll, 1, 20) <= 0)
      continue;
    std::array<char, 4096> Buffer{};
    const ssize_t Length = recv(Socket, Buffer.data(), Buffer.size(), 0);
    if (Length <= 0)
      break;
    Received.append(Buffer.data(), static_cast<size_t>(Length));
    const size_t End = Received.find("\r\n\r\n");
    if (End == std::string::npos)
      continue;
    const Response Next = this->OnRequest(++this->Requests, Received);
    Received.clear();
    std::this_thread::sleep_for(std::chrono::milliseconds(Next.DelayMs));
    send(Socket, Next.Bytes.data(), Next.Bytes.size(), MSG_NOSIGNAL);
    if (Next.Reset) {
      std::this_thread::sleep_for(ResetDelay);
      const linger Option{.l_onoff = 1, .l_linger = 0};
      setsockopt(Socket, SOL_SOCKET, SO_LINGER, &Option, sizeof(Option));
    }
    if (Next.Close)
      break;
  }
  close(Socket);
}

} // namespace bluebellbarrow
