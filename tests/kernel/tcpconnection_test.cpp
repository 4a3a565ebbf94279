#include "kernel/closingconnections.h"
#include "kernel/task.h"
#include "kernel/tcpconnection.h"
#include "kernel/timer.h"

#include <criterion/criterion.h>

#include <arpa/inet.h>
#include <array>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace bluebellbarrow; // NOLINT: test

namespace {

const std::string Loopback = "127.78.0.1";

/** Small, so that the sender often has to wait until it can write. */
constexpr int ReceiveBufferBytes = 64 * 1024;

/** Large enough for the socket to accept MessageBytes in one write. */
constexpr int SendBufferBytes = 208 * 1024;

constexpr size_t MessageBytes = size_t{192} * 1024;

/** A socket that listens on a free port of Loopback. */
struct Listener {
  Listener() : Fd(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in Local{};
    Local.sin_family = AF_INET;
    inet_pton(AF_INET, Loopback.c_str(), &Local.sin_addr);
    setsockopt(this->Fd, SOL_SOCKET, SO_RCVBUF, &ReceiveBufferBytes,
               sizeof(ReceiveBufferBytes));
    (void)bind(this->Fd, reinterpret_cast<sockaddr *>(&Local), sizeof(Local));
    (void)listen(this->Fd, 1);
    socklen_t Length = sizeof(Local);
    getsockname(this->Fd, reinterpret_cast<sockaddr *>(&Local), &Length);
    this->Port = ntohs(Local.sin_port);
  }

  ~Listener() { close(this->Fd); }

  int Fd;
  int Port = 0;
};

/** Accepts one connection and reads it to its end; returns the byte count. */
size_t readToEnd(const Listener &Server) {
  const int Socket = accept(Server.Fd, nullptr, nullptr);
  std::array<char, size_t{16} * 1024> Buffer{};
  size_t Total = 0;
  ssize_t Length = 0;
  while ((Length = recv(Socket, Buffer.data(), Buffer.size(), 0)) > 0)
    Total += static_cast<size_t>(Length);
  close(Socket);
  return Total;
}

/** Opens a blocking connection to \a Server; returns the socket. */
int connectTo(const Listener &Server) {
  const int Socket = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in Remote{};
  Remote.sin_family = AF_INET;
  Remote.sin_port = htons(static_cast<uint16_t>(Server.Port));
  inet_pton(AF_INET, Loopback.c_str(), &Remote.sin_addr);
  (void)connect(Socket, reinterpret_cast<sockaddr *>(&Remote), sizeof(Remote));
  return Socket;
}

} // namespace

Test(tcpconnection, reports_drained_for_a_message_that_the_socket_can_buffer) {
  const Listener Server;
  const int Client = connectTo(Server);
  const int Accepted = accept(Server.Fd, nullptr, nullptr);
  setsockopt(Accepted, SOL_SOCKET, SO_SNDBUF, &SendBufferBytes,
             sizeof(SendBufferBytes));
  std::thread Reader([Client] {
    std::string Buffer(MessageBytes, '\0');
    (void)recv(Client, Buffer.data(), Buffer.size(), MSG_WAITALL);
  });

  Task Owner({.Name = "test", .MaxSockets = 64});
  int DrainedCalls = 0;
  TcpConnection Sender(Owner, Accepted,
                       {.Connected = nullptr,
                        .Received = [](std::string_view) {},
                        .Closed = nullptr,
                        .Drained =
                            [&] {
                              DrainedCalls += 1;
                              Owner.stop();
                            }});
  Sender.send(std::string(MessageBytes, 'x'));
  cr_assert_eq(DrainedCalls, 0, "called within send()");
  Timer TimeoutTimer(Owner, [&] { Owner.stop(); });
  TimeoutTimer.start(seconds(5));
  Owner.run();
  Reader.join();
  close(Client);

  cr_assert_eq(DrainedCalls, 1);
  cr_assert_eq(Sender.sentBytes(), MessageBytes);
}

Test(tcpconnection, sends_all_of_a_long_message_to_a_slow_reader) {
  constexpr size_t Size = size_t{32} * 1024 * 1024;
  const Listener Server;
  size_t Received = 0;
  std::thread Reader([&] { Received = readToEnd(Server); });

  Task Owner({.Name = "test", .MaxSockets = 64});
  std::unique_ptr<TcpConnection> Sender;
  uint64_t Drained = 0;
  Sender = std::make_unique<TcpConnection>(
      Owner,
      TcpConnectOptions{
          .LocalIp = {},
          .Remote = {.Ip = Address(Loopback), .Port = Server.Port}},
      TcpEvents{.Connected = [&] { Sender->send(std::string(Size, 'x')); },
                .Received = [](std::string_view) {},
                .Closed = [&](TcpCloseReason) { Owner.stop(); },
                .Drained =
                    [&] {
                      Drained = Sender->drainedBytes();
                      Owner.stop();
                    }});
  Timer TimeoutTimer(Owner, [&] { Owner.stop(); });
  TimeoutTimer.start(seconds(5));
  Owner.run();
  Reader.join();

  cr_assert_eq(Received, Size, "%zu of %zu bytes arrived", Received, Size);
  cr_assert_gt(Drained, 0);
}

namespace {

/**
 * Closes a connection whose peer does not close; returns whether the peer can
 * still send after PeerCloseTimeout.
 */
bool canSendAfterClose(bool ResetUnclosed) {
  const Listener Server;
  const int Peer = connectTo(Server);
  Task Owner({.Name = "test", .MaxSockets = 64});
  ClosingConnections Closing(
      Owner,
      {.PeerCloseTimeout = milliseconds(200), .ResetUnclosed = ResetUnclosed},
      nullptr);
  auto Connection = std::make_unique<TcpConnection>(
      Owner, accept(Server.Fd, nullptr, nullptr),
      TcpEvents{.Connected = nullptr,
                .Received = [](std::string_view) {},
                .Closed = nullptr,
                .Drained = nullptr});
  Connection->send("last bytes");
  Closing.add(std::move(Connection));
  Timer StopTimer(Owner, [&] { Owner.stop(); });
  StopTimer.start(milliseconds(600));
  Owner.run();
  const bool Sent = send(Peer, "x", 1, MSG_NOSIGNAL) == 1;
  close(Peer);
  return Sent;
}

} // namespace

// Guards against a node that reads requests long after their sender has given
// them up: streams between nodes are reset, callers' connections are not.
Test(closingconnections, resets_a_peer_that_does_not_close_if_asked_to) {
  cr_expect_not(canSendAfterClose(true));
  cr_expect(canSendAfterClose(false));
}
