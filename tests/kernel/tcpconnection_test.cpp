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

/** Small, so that the sender often has to wait for room. */
constexpr int ReceiveBufferBytes = 64 * 1024;

/** A socket that listens on any port of Loopback. */
struct Listener {
  Listener() : Number(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in Place{};
    Place.sin_family = AF_INET;
    inet_pton(AF_INET, Loopback.c_str(), &Place.sin_addr);
    setsockopt(this->Number, SOL_SOCKET, SO_RCVBUF, &ReceiveBufferBytes,
               sizeof(ReceiveBufferBytes));
    (void)bind(this->Number, reinterpret_cast<sockaddr *>(&Place),
               sizeof(Place));
    (void)listen(this->Number, 1);
    socklen_t Length = sizeof(Place);
    getsockname(this->Number, reinterpret_cast<sockaddr *>(&Place), &Length);
    this->Port = ntohs(Place.sin_port);
  }

  ~Listener() { close(this->Number); }

  int Number;
  int Port = 0;
};

/** Accepts one connection and reads it to its end; returns the bytes. */
size_t readToEnd(const Listener &From) {
  const int Socket = accept(From.Number, nullptr, nullptr);
  std::array<char, size_t{16} * 1024> Buffer{};
  size_t Total = 0;
  ssize_t Length = 0;
  while ((Length = recv(Socket, Buffer.data(), Buffer.size(), 0)) > 0)
    Total += static_cast<size_t>(Length);
  close(Socket);
  return Total;
}

} // namespace

Test(tcpconnection, sends_all_of_a_long_message_to_a_slow_reader) {
  constexpr size_t Size = size_t{32} * 1024 * 1024;
  const Listener Place;
  size_t Received = 0;
  std::thread Reader([&] { Received = readToEnd(Place); });

  Task Owner({.Name = "test", .MaxSockets = 64});
  std::unique_ptr<TcpConnection> Sender;
  uint64_t Drained = 0;
  Sender = std::make_unique<TcpConnection>(
      Owner,
      TcpConnectOptions{
          .LocalIp = {},
          .Remote = {.Ip = Address(Loopback), .Port = Place.Port}},
      TcpEvents{.Connected = [&] { Sender->send(std::string(Size, 'x')); },
                .Received = [](std::string_view) {},
                .Closed = [&](TcpCloseReason) { Owner.stop(); },
                .Drained =
                    [&] {
                      Drained = Sender->drainedBytes();
                      Owner.stop();
                    }});
  Timer Limit(Owner, [&] { Owner.stop(); });
  Limit.start(seconds(5));
  Owner.run();
  Reader.join();

  cr_assert_eq(Received, Size, "%zu of %zu bytes arrived", Received, Size);
  cr_assert_gt(Drained, 0);
}
