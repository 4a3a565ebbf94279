#include "kernel/httpserver.h"
#include "kernel/task.h"
#include "kernel/timer.h"

#include <criterion/criterion.h>

#include <arpa/inet.h>
#include <array>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

using namespace bluebellbarrow; // NOLINT: test

namespace {

constexpr int Port = 18080;
constexpr size_t MaxBufferedBytes = size_t{128} * 1024;
constexpr size_t LongBodyBytes = size_t{200} * 1024;
constexpr Duration StepTime = milliseconds(60);
constexpr int ReceiveBufferBytes = 64 * 1024;

/** More than the sockets of a connection hold. */
constexpr size_t EndlessBodyBytes = size_t{16} * 1024 * 1024;

std::string get(const std::string &Path) {
  return "GET " + Path + " HTTP/1.1\r\nHost: a\r\n\r\n";
}

/** A client's connection that neither blocks nor closes by itself. */
struct Client {
  explicit Client(const std::string &Ip) : Fd(socket(AF_INET, SOCK_STREAM, 0)) {
    setsockopt(this->Fd, SOL_SOCKET, SO_RCVBUF, &ReceiveBufferBytes,
               sizeof(ReceiveBufferBytes));
    sockaddr_in Remote{};
    Remote.sin_family = AF_INET;
    Remote.sin_port = htons(Port);
    inet_pton(AF_INET, Ip.c_str(), &Remote.sin_addr);
    (void)connect(this->Fd, reinterpret_cast<sockaddr *>(&Remote),
                  sizeof(Remote));
  }

  ~Client() { close(this->Fd); }

  void send(const std::string &Bytes) const {
    (void)::send(this->Fd, Bytes.data(), Bytes.size(), MSG_NOSIGNAL);
  }

  /** Appends the bytes that have arrived to Received. */
  void receive() {
    std::array<char, size_t{64} * 1024> Buffer{};
    ssize_t Length = 0;
    while ((Length =
                recv(this->Fd, Buffer.data(), Buffer.size(), MSG_DONTWAIT)) > 0)
      this->Received.append(Buffer.data(), static_cast<size_t>(Length));
  }

  int Fd;
  std::string Received;
};

/**
 * A server whose requests are answered by the test. Tests run at the same time,
 * so each needs an address of its own.
 */
struct Server {
  explicit Server(const std::string &Ip, Duration StallTimeout = seconds(30))
      : Owner({.Name = "test", .MaxSockets = 64}),
        Http(Owner,
             {.Name = "test",
              .Local = {.Ip = Address(Ip), .Port = Port},
              .Limits = {.StallTimeout = StallTimeout,
                         .MaxBufferedBytes = MaxBufferedBytes}},
             {.RequestReceived =
                  [this](ExchangeId Id, const HttpRequest &Request, TimePoint) {
                    this->Started.push_back(Id);
                    this->Paths.push_back(Request.RequestTarget);
                  },
              .Aborted = [this](ExchangeId Id) { this->Aborted.push_back(Id); },
              .Malformed = [](const Error &) {},
              .IsIdempotent = [](const HttpRequest &) { return true; },
              .Stalled =
                  [this](const StalledConnection &Connection) {
                    this->Stalled.push_back(Connection);
                  }}) {}

  /** Runs each step, some time after the one before. */
  void run(const std::vector<std::function<void()>> &Steps) {
    size_t Next = 0;
    Timer StepTimer(this->Owner, [&] {
      if (Next == Steps.size()) {
        this->Owner.stop();
        return;
      }
      Steps[Next++]();
      StepTimer.start(StepTime);
    });
    StepTimer.start(StepTime);
    this->Owner.run();
  }

  void respond(size_t Index, const std::string &Body) {
    this->Http.respond(this->Started.at(Index),
                       {.Status = 200, .Headers = {}, .Body = Body});
  }

  Task Owner;
  HttpServer Http;
  std::vector<ExchangeId> Started;

  /** Number of responses that a test has given. */
  size_t Answered = 0;
  std::vector<std::string> Paths;
  std::vector<ExchangeId> Aborted;
  std::vector<StalledConnection> Stalled;
};

/** Returns \a Count steps that do nothing. */
std::vector<std::function<void()>> pause(size_t Count) {
  return {Count, [] {}};
}

void append(std::vector<std::function<void()>> &Steps,
            const std::vector<std::function<void()>> &Added) {
  Steps.insert(Steps.end(), Added.begin(), Added.end());
}

using Texts = std::vector<std::string>;

} // namespace

Test(httpserver, stops_reading_while_held_responses_exceed_the_limit) {
  const std::string Ip = "127.78.0.2";
  Server Tested(Ip);
  Client Caller(Ip);
  Tested.run({[&] { Caller.send(get("/1") + get("/2")); },
              [&] { Tested.respond(1, std::string(LongBodyBytes, 'x')); },
              [&] { Caller.send(get("/3").substr(0, 5)); },
              [&] { Caller.send(get("/3").substr(5)); },
              [&] {
                cr_expect(Tested.Paths == Texts({"/1", "/2"}));
                Tested.respond(0, "first");
              },
              [&] {
                Caller.receive();
                cr_expect(Tested.Paths == Texts({"/1", "/2", "/3"}));
              }});
  const size_t First = Caller.Received.find("first");
  cr_assert_neq(First, std::string::npos);
  cr_assert_gt(Caller.Received.size(), LongBodyBytes);
}

Test(httpserver, keeps_watching_for_a_disconnect_while_over_the_limit) {
  const std::string Ip = "127.78.0.3";
  Server Tested(Ip);
  auto Caller = std::make_unique<Client>(Ip);
  Tested.run({[&] { Caller->send(get("/1") + get("/2")); },
              [&] { Tested.respond(1, std::string(LongBodyBytes, 'x')); },
              [&] { Caller.reset(); },
              [&] {
                cr_expect_eq(Tested.Aborted.size(), 1);
                cr_expect_eq(Tested.Http.connectionCount(), 0);
              }});
}

Test(httpserver, aborts_what_is_behind_a_response_that_closes) {
  const std::string Ip = "127.78.0.4";
  Server Tested(Ip);
  Client Caller(Ip);
  Tested.run({[&] { Caller.send(get("/1") + get("/2") + get("/3")); },
              [&] { Tested.respond(1, "second"); },
              [&] {
                Tested.Http.respond(Tested.Started.at(0),
                                    {.Status = 200,
                                     .Headers = {},
                                     .Body = "first",
                                     .CloseConnection = true});
              },
              [&] { Caller.receive(); }});
  cr_assert_neq(Caller.Received.find("first"), std::string::npos);
  cr_assert_eq(Caller.Received.find("second"), std::string::npos);
  cr_assert_eq(Tested.Aborted.size(), 1);
  cr_assert_eq(Tested.Aborted.front().value(), Tested.Started.at(2).value());
}

// Guards against clients that stop reading for good and hold memory and a
// connection for as long as they like.
Test(httpserver, gives_up_a_client_that_makes_no_progress) {
  const std::string Ip = "127.78.0.6";
  Server Tested(Ip, milliseconds(500));
  Client Kept(Ip);
  Client Closing(Ip);
  std::vector<std::function<void()>> Steps = {
      [&] {
        Kept.send(get("/1"));
        Closing.send("GET /2 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
      },
      [&] {
        Tested.respond(0, std::string(EndlessBodyBytes, 'x'));
        Tested.respond(1, std::string(EndlessBodyBytes, 'x'));
        cr_expect_gt(Tested.Http.bufferedBytes(), EndlessBodyBytes);
        cr_expect_eq(Tested.Http.undeliveredCount(), 2);
      }};
  append(Steps, pause(20));
  Tested.run(Steps);
  cr_assert_eq(Tested.Stalled.size(), 2);
  for (const StalledConnection &Stalled : Tested.Stalled)
    cr_expect_gt(Stalled.UndeliveredBytes, EndlessBodyBytes / 2);
  cr_expect_eq(Tested.Http.bufferedBytes(), 0);
  cr_expect_eq(Tested.Http.undeliveredCount(), 0);
}

// Guards against a slow but steady client that is given up, and against one
// that has stalled and stays while too many bytes are held.
Test(httpserver, over_the_limit_the_client_that_stalled_goes_first) {
  const std::string Ip = "127.78.0.7";
  Server Tested(Ip);
  Client Steady(Ip);
  Client Stalled(Ip);
  std::vector<std::function<void()>> Steps = {
      [&] {
        Steady.send(get("/1"));
        Stalled.send(get("/2"));
      },
      [&] {
        Tested.respond(0, std::string(EndlessBodyBytes, 'x'));
        Tested.respond(1, std::string(EndlessBodyBytes, 'x'));
      }};
  for (int Count = 0; Count < 30; ++Count)
    Steps.emplace_back([&] { Steady.receive(); });
  Tested.run(Steps);
  cr_assert_eq(Tested.Stalled.size(), 1);
  cr_expect(Tested.Stalled.front().Limit == StallLimit::HeldBytes);
  cr_expect_geq(Tested.Stalled.front().StalledFor, Duration(seconds(1)));
  cr_expect_eq(Tested.Http.connectionCount(), 1);
  cr_expect_gt(Steady.Received.size(), EndlessBodyBytes);
}

// Guards against a client that sends requests and never reads: each response
// was queued and the next request started, without a limit.
Test(httpserver, starts_nothing_for_a_client_that_is_behind_with_reading) {
  const std::string Ip = "127.78.0.8";
  Server Tested(Ip);
  Client Caller(Ip);
  constexpr size_t RequestCount = 10;
  std::vector<std::function<void()>> Steps;
  for (size_t Count = 0; Count < RequestCount; ++Count)
    Steps.emplace_back([&] {
      Caller.send(get("/next"));
      while (Tested.Answered < Tested.Started.size())
        Tested.respond(Tested.Answered++,
                       std::string(EndlessBodyBytes / 8, 'x'));
    });
  Steps.emplace_back([&] { cr_expect_lt(Tested.Started.size(), 6); });
  for (int Count = 0; Count < 40; ++Count)
    Steps.emplace_back([&] {
      Caller.receive();
      while (Tested.Answered < Tested.Started.size())
        Tested.respond(Tested.Answered++, "short");
    });
  Tested.run(Steps);
  cr_expect_eq(Tested.Started.size(), RequestCount);
}
