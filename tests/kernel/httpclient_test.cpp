#include "kernel/httpclient.h"
#include "kernel/task.h"
#include "rawserver.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace bluebellbarrow; // NOLINT: test

namespace {

const std::string Loopback = "127.77.0.1";

std::string whole(const std::string &Body) {
  return "HTTP/1.1 200 OK\r\ncontent-length: " + std::to_string(Body.size()) +
         "\r\n\r\n" + Body;
}

/** Makes calls one after the other over one slot; returns how each ended. */
std::vector<CallResult> callInTurn(int Port,
                                   const std::vector<std::string> &Methods,
                                   Duration Timeout) {
  Task Owner({.Name = "test", .MaxSockets = 64});
  HttpClient Client(Owner, {.Name = "client",
                            .LocalIp = {},
                            .Remote = {.Ip = Address(Loopback), .Port = Port},
                            .SlotCount = 1,
                            .MaxBodyBytes = 1000});
  std::vector<CallResult> Results;
  Timer Pause(Owner, [] {});
  std::function<void()> Next = [&] {
    if (Results.size() == Methods.size()) {
      Owner.stop();
      return;
    }
    const std::string Number = std::to_string(Results.size() + 1);
    Client.call({.Method = Methods[Results.size()],
                 .RequestTarget = "/" + Number,
                 .Headers = {{"Host", "test"}},
                 .Body = ""},
                Timeout, [&](const CallResult &Result) {
                  Results.push_back(Result);
                  Next();
                });
  };
  Owner.post(Next);
  Owner.run();
  return Results;
}

} // namespace

Test(httpclient, keeps_one_connection_for_many_calls) {
  RawServer Server(Loopback, [](int Number, const std::string &) {
    return RawServer::Response{.Bytes =
                                   whole("answer " + std::to_string(Number))};
  });
  const auto Results = callInTurn(
      Server.port(), std::vector<std::string>(20, "GET"), seconds(2));
  for (size_t Index = 0; Index < Results.size(); ++Index) {
    cr_expect_eq(Results[Index].Outcome, CallOutcome::Answered);
    const std::string Expected = "answer " + std::to_string(Index + 1);
    cr_expect_str_eq(Results[Index].Response.Body.c_str(), Expected.c_str());
  }
  cr_expect_eq(Server.connections(), 1);
}

Test(httpclient, never_repeats_a_request_when_the_server_closes) {
  RawServer Server(Loopback, [](int Number, const std::string &) {
    const bool Second = Number == 2;
    return RawServer::Response{.Bytes = Second ? "" : whole("good"),
                               .Close = Second};
  });
  const auto Results =
      callInTurn(Server.port(), {"GET", "POST", "GET"}, seconds(2));
  cr_expect_eq(Results[0].Outcome, CallOutcome::Answered);
  cr_expect_eq(Results[1].Outcome, CallOutcome::NoResponse);
  cr_expect_eq(Results[2].Outcome, CallOutcome::Answered);
  cr_expect_eq(Server.requests(), 3, "a request was sent %d times in all",
               Server.requests());
}

Test(httpclient, gives_a_late_answer_to_nobody) {
  RawServer Server(Loopback, [](int Number, const std::string &) {
    return RawServer::Response{.Bytes =
                                   whole("answer " + std::to_string(Number)),
                               .DelayMs = Number == 1 ? 300 : 0};
  });
  const auto Results =
      callInTurn(Server.port(), {"GET", "GET", "GET"}, milliseconds(100));
  cr_expect_eq(Results[0].Outcome, CallOutcome::NoResponse);
  cr_expect_eq(Results[1].Outcome, CallOutcome::Answered);
  cr_expect_str_eq(Results[1].Response.Body.c_str(), "answer 2");
  cr_expect_str_eq(Results[2].Response.Body.c_str(), "answer 3");
  cr_expect_eq(Server.connections(), 2);
}

Test(httpclient, takes_a_cut_answer_for_broken) {
  const std::vector<std::string> Bad = {
      "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nshort",
      "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhel",
      "HTTP/1.1 200 OK\r\ncontent-len",
      "garbage\r\n\r\n",
  };
  RawServer Server(Loopback, [&Bad](int Number, const std::string &) {
    return RawServer::Response{.Bytes = Bad[static_cast<size_t>(Number) - 1],
                               .Close = true};
  });
  const auto Results = callInTurn(
      Server.port(), std::vector<std::string>(Bad.size(), "GET"), seconds(1));
  for (size_t Index = 0; Index < Bad.size(); ++Index)
    cr_expect_eq(Results[Index].Outcome, CallOutcome::NoResponse, "answer %zu",
                 Index);
}

Test(httpclient, takes_a_whole_chunked_answer) {
  const std::string Head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n";
  const std::string Body = "\r\n5\r\nhello\r\n0\r\n\r\n";
  RawServer Server(Loopback, [&](int Number, const std::string &) {
    const bool Close = Number == 2;
    return RawServer::Response{
        .Bytes = Head + (Close ? "connection: close\r\n" : "") + Body,
        .Close = Close};
  });
  const auto Results =
      callInTurn(Server.port(), {"GET", "GET", "GET"}, seconds(1));
  for (const CallResult &Each : Results) {
    cr_expect_eq(Each.Outcome, CallOutcome::Answered);
    cr_expect_str_eq(Each.Response.Body.c_str(), "hello");
  }
}

Test(httpclient, refuses_an_answer_over_the_limit) {
  RawServer Server(Loopback, [](int, const std::string &) {
    return RawServer::Response{.Bytes = whole(std::string(5000, 'x'))};
  });
  const auto Results = callInTurn(Server.port(), {"GET"}, seconds(1));
  cr_expect_eq(Results[0].Outcome, CallOutcome::NoResponse);
}

Test(httpclient, says_not_sent_only_when_nothing_was_sent) {
  const auto Refused = callInTurn(1, {"POST"}, seconds(1));
  cr_expect_eq(Refused[0].Outcome, CallOutcome::NotSent);
  RawServer Server(Loopback, [](int, const std::string &) {
    return RawServer::Response{.Bytes = "", .Close = true};
  });
  const auto Closed = callInTurn(Server.port(), {"POST"}, seconds(1));
  cr_expect_eq(Closed[0].Outcome, CallOutcome::NoResponse);
}

Test(httpclient, does_not_follow_a_redirect) {
  RawServer Server(Loopback, [](int, const std::string &) {
    return RawServer::Response{.Bytes =
                                   "HTTP/1.1 302 Found\r\nlocation: /other\r\n"
                                   "content-length: 0\r\n\r\n"};
  });
  const auto Results = callInTurn(Server.port(), {"POST"}, seconds(1));
  cr_expect_eq(Results[0].Outcome, CallOutcome::Answered);
  cr_expect_eq(Results[0].Response.Status, 302);
  cr_expect_eq(Server.requests(), 1);
}

Test(httpclient, a_bad_answer_spoils_only_its_own_call) {
  RawServer Server(Loopback, [](int Number, const std::string &) {
    const bool Bad = Number % 2 == 1;
    return RawServer::Response{.Bytes = Bad ? "garbage\r\n\r\n" : whole("good"),
                               .Close = Bad};
  });
  const auto Results =
      callInTurn(Server.port(), {"GET", "POST", "GET", "POST"}, seconds(1));
  for (size_t Index = 0; Index < Results.size(); ++Index)
    cr_expect_eq(Results[Index].Outcome,
                 Index % 2 == 0 ? CallOutcome::NoResponse
                                : CallOutcome::Answered,
                 "call %zu: %s", Index, Results[Index].Cause.c_str());
}

Test(httpclient, an_answer_without_a_length_ends_with_its_connection) {
  RawServer Server(Loopback, [](int Number, const std::string &) {
    return RawServer::Response{.Bytes = "HTTP/1.1 200 OK\r\n\r\nno length",
                               .Close = true,
                               .Reset = Number == 2};
  });
  const auto Results =
      callInTurn(Server.port(), {"GET", "GET", "GET"}, seconds(1));
  cr_expect_eq(Results[0].Outcome, CallOutcome::Answered);
  cr_expect_str_eq(Results[0].Response.Body.c_str(), "no length");
  cr_expect_eq(Results[1].Outcome, CallOutcome::NoResponse,
               "a reset looked whole");
  cr_expect_eq(Results[2].Outcome, CallOutcome::Answered);
  cr_expect_eq(Server.connections(), 3);
}
