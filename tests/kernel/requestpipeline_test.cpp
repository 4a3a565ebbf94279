#include "kernel/arrivaltimes.h"
#include "kernel/pipelinepolicy.h"
#include "kernel/requestpipeline.h"

#include <criterion/criterion.h>

#include <string>
#include <vector>

using namespace bluebellbarrow; // NOLINT: test

namespace {

constexpr size_t MaxOpenRequests = 4;

const TimePoint Start{seconds(100)};

std::string get(const std::string &Path, const std::string &Headers = "") {
  return "GET " + Path + " HTTP/1.1\r\nHost: a\r\n" + Headers + "\r\n";
}

std::string post(const std::string &Path, const std::string &Body) {
  return "POST " + Path + " HTTP/1.1\r\nHost: a\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

RequestPipeline makePipeline() {
  return {{.MaxHeaderBytes = 1000, .MaxBodyBytes = 1000},
          MaxOpenRequests,
          [](const HttpRequest &Request) { return Request.Method == "GET"; }};
}

/** Starts all requests that may start; returns their paths. */
std::vector<std::string> startAll(RequestPipeline &Pipeline,
                                  uint64_t &LastNumber) {
  std::vector<std::string> Paths;
  while (const auto Started = Pipeline.startNext(ExchangeId(LastNumber + 1))) {
    LastNumber += 1;
    Paths.push_back(Started->Request.RequestTarget);
  }
  return Paths;
}

/** Takes all responses that can be sent; returns their bodies. */
std::vector<std::string> takeAll(RequestPipeline &Pipeline) {
  std::vector<std::string> Bodies;
  while (const auto Response = Pipeline.takeResponse()) {
    const size_t BodyStart = Response->Bytes.find("\r\n\r\n") + 4;
    Bodies.push_back(Response->Bytes.substr(BodyStart) +
                     (Response->Close ? " closes" : ""));
  }
  return Bodies;
}

HttpResponse response(const std::string &Body) {
  return {.Status = 200, .Headers = {}, .Body = Body};
}

using Texts = std::vector<std::string>;

} // namespace

Test(pipelinepolicy, starts_only_idempotent_requests_behind_open_ones) {
  const PipelineState OneOpen{.OpenRequests = 1, .MaxOpenRequests = 2};
  cr_assert(mayStartBehindOpenRequests(OneOpen, true));
  cr_assert_not(mayStartBehindOpenRequests(OneOpen, false));
}

Test(pipelinepolicy, limits_open_requests) {
  const PipelineState Full{.OpenRequests = 2, .MaxOpenRequests = 2};
  cr_assert_not(mayStartBehindOpenRequests(Full, true));
}

Test(pipelinepolicy, starts_nothing_behind_a_response_that_closes) {
  const PipelineState Closing{
      .OpenRequests = 1, .MaxOpenRequests = 2, .StaysOpen = false};
  cr_assert_not(mayStartBehindOpenRequests(Closing, true));
  cr_assert_not(mayStartBehindOpenRequests(Closing, false));
}

Test(arrivaltimes, tells_when_the_oldest_byte_arrived) {
  ArrivalTimes Arrivals;
  Arrivals.record(10, Start);
  Arrivals.record(10, Start + milliseconds(50));
  Arrivals.record(10, Start + milliseconds(90));
  Arrivals.keepLast(15);
  cr_assert(Arrivals.oldest() == Start + milliseconds(50));
  Arrivals.keepLast(10);
  cr_assert(Arrivals.oldest() == Start + milliseconds(90));
  Arrivals.keepLast(0);
  cr_assert(Arrivals.empty());
}

Test(arrivaltimes, joins_bytes_that_arrive_close_together) {
  ArrivalTimes Arrivals;
  for (int Millis = 0; Millis < 4; ++Millis)
    Arrivals.record(1, Start + milliseconds(Millis));
  Arrivals.keepLast(1);
  cr_assert(Arrivals.oldest() == Start);
}

Test(requestpipeline, starts_idempotent_requests_together) {
  RequestPipeline Pipeline = makePipeline();
  uint64_t Number = 0;
  Pipeline.feed(get("/1") + get("/2") + get("/3"), Start);
  cr_assert(startAll(Pipeline, Number) == Texts({"/1", "/2", "/3"}));
}

Test(requestpipeline, sends_responses_in_the_order_of_requests) {
  RequestPipeline Pipeline = makePipeline();
  uint64_t Number = 0;
  Pipeline.feed(get("/1") + get("/2") + get("/3"), Start);
  (void)startAll(Pipeline, Number);
  Pipeline.setResponse(ExchangeId(3), response("third"));
  Pipeline.setResponse(ExchangeId(2), response("second"));
  cr_assert(takeAll(Pipeline).empty());
  Pipeline.setResponse(ExchangeId(1), response("first"));
  cr_assert(takeAll(Pipeline) == Texts({"first", "second", "third"}));
  cr_assert_not(Pipeline.hasOpenRequests());
}

Test(requestpipeline, limits_requests_that_run_together) {
  RequestPipeline Pipeline = makePipeline();
  uint64_t Number = 0;
  for (size_t Count = 0; Count < MaxOpenRequests + 2; ++Count)
    Pipeline.feed(get("/x"), Start);
  cr_assert_eq(startAll(Pipeline, Number).size(), MaxOpenRequests);
  Pipeline.setResponse(ExchangeId(1), response("first"));
  (void)takeAll(Pipeline);
  cr_assert_eq(startAll(Pipeline, Number).size(), 1);
}

Test(requestpipeline, starts_what_may_run_once_when_all_before_is_answered) {
  RequestPipeline Pipeline = makePipeline();
  uint64_t Number = 0;
  Pipeline.feed(get("/1") + get("/2") + post("/once", "body") + get("/4"),
                Start);
  cr_assert(startAll(Pipeline, Number) == Texts({"/1", "/2"}));
  Pipeline.setResponse(ExchangeId(1), response("first"));
  (void)takeAll(Pipeline);
  cr_assert(startAll(Pipeline, Number).empty());
  Pipeline.setResponse(ExchangeId(2), response("second"));
  cr_assert(startAll(Pipeline, Number).empty(), "not sent yet");
  (void)takeAll(Pipeline);
  cr_assert(startAll(Pipeline, Number) == Texts({"/once", "/4"}));
}

Test(requestpipeline, reads_nothing_behind_a_request_that_closes) {
  RequestPipeline Pipeline = makePipeline();
  uint64_t Number = 0;
  Pipeline.feed(get("/1") + get("/2", "Connection: close\r\n") + get("/3") +
                    post("/once", "body"),
                Start);
  cr_assert(startAll(Pipeline, Number) == Texts({"/1", "/2"}));
  Pipeline.setResponse(ExchangeId(1), response("first"));
  Pipeline.setResponse(ExchangeId(2), response("second"));
  cr_assert(takeAll(Pipeline) == Texts({"first", "second closes"}));
}

Test(requestpipeline, answers_what_has_started_when_the_server_closes) {
  RequestPipeline Pipeline = makePipeline();
  uint64_t Number = 0;
  Pipeline.feed(get("/1") + get("/2"), Start);
  (void)startAll(Pipeline, Number);
  Pipeline.setClosing(true);
  Pipeline.feed(get("/3") + post("/once", "body"), Start);
  cr_assert(startAll(Pipeline, Number).empty());
  Pipeline.setResponse(ExchangeId(2), response("second"));
  Pipeline.setResponse(ExchangeId(1), response("first"));
  cr_assert(takeAll(Pipeline) == Texts({"first", "second closes"}));
}

Test(requestpipeline, reports_a_fault_after_the_responses_before_it) {
  RequestPipeline Pipeline = makePipeline();
  uint64_t Number = 0;
  Pipeline.feed(get("/1") + "POST /x HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n" +
                    get("/3"),
                Start);
  cr_assert(startAll(Pipeline, Number) == Texts({"/1"}));
  cr_assert_not(Pipeline.fault().has_value());
  Pipeline.setResponse(ExchangeId(1), response("first"));
  cr_assert(takeAll(Pipeline) == Texts({"first"}));
  cr_assert_eq(Pipeline.fault()->Status, 400);
  cr_assert(startAll(Pipeline, Number).empty());
}

Test(requestpipeline, refuses_a_cut_request_line_without_waiting_for_more) {
  RequestPipeline Pipeline = makePipeline();
  Pipeline.feed("PUT /x H0\r\n\r\n", Start);
  cr_assert(Pipeline.fault().has_value());
  cr_assert_eq(Pipeline.fault()->Status, 400);
}

Test(requestpipeline, reports_a_fault_of_the_header_before_one_of_the_body) {
  RequestPipeline Pipeline = makePipeline();
  Pipeline.feed("PUT /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: odd, "
                "chunked\r\n\r\nno chunk\r\n",
                Start);
  cr_assert(Pipeline.fault().has_value());
  cr_assert_eq(Pipeline.fault()->Status, 501);
}

Test(requestpipeline, refuses_a_target_without_a_path_in_its_turn) {
  RequestPipeline Pipeline = makePipeline();
  uint64_t Number = 0;
  Pipeline.feed(get("/1") + get("x") + get("/3"), Start);
  cr_assert(startAll(Pipeline, Number) == Texts({"/1"}));
  Pipeline.setResponse(ExchangeId(1), response("first"));
  (void)takeAll(Pipeline);
  cr_assert_eq(Pipeline.fault()->Status, 400);
  cr_assert(startAll(Pipeline, Number).empty());
}

Test(requestpipeline, counts_deadlines_from_the_arrival) {
  RequestPipeline Pipeline = makePipeline();
  const std::string Once = post("/once", "body");
  Pipeline.feed(get("/1") + Once.substr(0, 10), Start);
  Pipeline.feed(Once.substr(10), Start + milliseconds(100));
  Pipeline.feed(post("/next", "body"), Start + milliseconds(300));
  (void)Pipeline.startNext(ExchangeId(1));
  Pipeline.setResponse(ExchangeId(1), response("first"));
  (void)takeAll(Pipeline);
  const auto Second = Pipeline.startNext(ExchangeId(2));
  cr_assert(Second->ReceivedAt == Start);
  Pipeline.setResponse(ExchangeId(2), response("second"));
  (void)takeAll(Pipeline);
  const auto Third = Pipeline.startNext(ExchangeId(3));
  cr_assert(Third->ReceivedAt == Start + milliseconds(300));
}

Test(requestpipeline, counts_open_bodies_and_held_responses) {
  RequestPipeline Pipeline = makePipeline();
  uint64_t Number = 0;
  Pipeline.feed(post("/once", std::string(300, 'x')) + get("/2"), Start);
  (void)startAll(Pipeline, Number);
  cr_assert_eq(Pipeline.bufferedBytes(), 300);
  Pipeline.setResponse(ExchangeId(2), response(std::string(200, 'y')));
  cr_assert_eq(Pipeline.bufferedBytes(), 500);
  Pipeline.setResponse(ExchangeId(1), response("z"));
  (void)takeAll(Pipeline);
  cr_assert_eq(Pipeline.bufferedBytes(), 0);
}

Test(requestpipeline, sends_continue_only_in_its_turn) {
  RequestPipeline Pipeline = makePipeline();
  uint64_t Number = 0;
  Pipeline.feed(get("/1") + "PUT /x HTTP/1.1\r\nHost: a\r\nExpect: "
                            "100-continue\r\nContent-Length: 4\r\n\r\n",
                Start);
  (void)startAll(Pipeline, Number);
  cr_assert_not(Pipeline.takeContinue());
  Pipeline.setResponse(ExchangeId(1), response("first"));
  (void)takeAll(Pipeline);
  cr_assert(Pipeline.takeContinue());
  cr_assert_not(Pipeline.takeContinue());
}

Test(requestpipeline, refuses_chunk_sizes_and_trailers_without_end) {
  const std::string Header =
      "PUT /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const std::string Unended : {"5;", "0\r\nX-Trailer: "}) {
    RequestPipeline Pipeline = makePipeline();
    Pipeline.feed(Header + Unended + std::string(2000, 'a'), Start);
    cr_assert(Pipeline.fault().has_value());
    cr_expect_eq(Pipeline.fault()->Status, 431);
  }
}
