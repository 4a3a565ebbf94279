#include "kernel/httpheaders.h"
#include "plugins/http/callerhttpcodec.h"
#include "plugins/http/targethttpcodec.h"

#include <criterion/criterion.h>

using namespace bluebellbarrow; // NOLINT: test

namespace {

const CallProtocol &protocol() {
  static const CallProtocol Names({.RequestId = "Id",
                                   .EchoesRequestId = true,
                                   .DeadlineRemaining = "Deadline-Remaining",
                                   .CallerService = "Caller-Service",
                                   .ExpectedTarget = "Expected-Instance",
                                   .TargetId = "",
                                   .NotRun = "Not-Run",
                                   .NotRunValue = "1",
                                   .Load = "Load",
                                   .Signature = "Server-Signature",
                                   .Depth = "",
                                   .Route = "",
                                   .IdempotencyKey = "",
                                   .Outcome = "",
                                   .Reason = "",
                                   .NoRetry = ""});
  return Names;
}

std::string requestHeader(const HttpRequest &Request, const char *Name) {
  return std::string(headerValue(Request.Headers, Name));
}

ReplyMessage replyTo(int Status, const HttpHeaders &Headers) {
  return TargetHttpCodec(protocol())
      .toReplyMessage(
          RequestNumber(7),
          {.Outcome = CallOutcome::Answered,
           .Response = {.Status = Status, .Headers = Headers, .Body = "b"}});
}

} // namespace

Test(targethttpcodec, replaces_call_headers_of_the_caller) {
  const HttpRequest Sent{.Method = "GET",
                         .RequestTarget = "/",
                         .Headers = {{"Caller-Service", "forged"},
                                     {"Expected-Instance", "forged"},
                                     {"Deadline-Remaining", "9000"}},
                         .Body = ""};
  const RequestMessage Message{.CallerService = ServiceName("s"),
                               .Request = Sent};
  const TargetHttpCodec Codec(protocol());
  const HttpRequest WithTarget =
      Codec.toHttpRequest(Message, TargetInstanceId("t"), milliseconds(1200));
  cr_expect_str_eq(requestHeader(WithTarget, "Caller-Service").c_str(), "s");
  cr_expect_str_eq(requestHeader(WithTarget, "Expected-Instance").c_str(), "t");
  cr_expect_str_eq(requestHeader(WithTarget, "Deadline-Remaining").c_str(),
                   "1200");
  const HttpRequest WithoutTarget =
      Codec.toHttpRequest(Message, TargetInstanceId(), -milliseconds(5));
  cr_expect_not(hasHeader(WithoutTarget.Headers, "Expected-Instance"));
  cr_expect_str_eq(requestHeader(WithoutTarget, "Deadline-Remaining").c_str(),
                   "1");
}

Test(targethttpcodec, a_success_without_signature_has_an_unknown_outcome) {
  cr_expect_eq(replyTo(200, {{"Server-Signature", "m"}}).Result,
               Outcome::Answered);
  cr_expect_eq(replyTo(200, {}).Result, Outcome::Unknown);
  cr_expect_eq(replyTo(500, {}).Result, Outcome::Answered);
}

Test(targethttpcodec, not_run_requires_the_header_or_status_421) {
  cr_expect_eq(replyTo(503, {{"Not-Run", "1"}}).Result, Outcome::NotRun);
  cr_expect_eq(replyTo(503, {{"Not-Run", "0"}}).Result, Outcome::Answered);
  cr_expect_eq(replyTo(503, {}).Result, Outcome::Answered);
  cr_expect_eq(replyTo(421, {}).Result, Outcome::NotRun);
  cr_expect(replyTo(421, {}).ReachedTarget);
}

Test(targethttpcodec,
     a_lost_response_is_unknown_and_an_unsent_request_not_run) {
  const TargetHttpCodec Codec(protocol());
  const ReplyMessage Lost = Codec.toReplyMessage(
      RequestNumber(7),
      {.Outcome = CallOutcome::NoResponse, .Response = {}, .Cause = "c"});
  cr_expect_eq(Lost.Result, Outcome::Unknown);
  const ReplyMessage Unsent =
      Codec.toReplyMessage(RequestNumber(7), {.Outcome = CallOutcome::NotSent});
  cr_expect_eq(Unsent.Result, Outcome::NotRun);
  cr_expect_not(Unsent.ReachedTarget);
}

Test(targethttpcodec, load_and_connection_headers_are_removed) {
  const ReplyMessage Reply = replyTo(
      200, {{"Server-Signature", "m"}, {"Load", "1,2,3"}, {"Keep-Alive", "5"}});
  cr_expect_eq(Reply.Response.Headers.size(), 1);
}

Test(callerhttpcodec, remaining_time_is_between_zero_and_the_maximum) {
  const CallerHttpCodec Codec(protocol());
  const auto RemainingTime = [&Codec](const char *Header) {
    return Codec.remainingTime({.Headers = {{"Deadline-Remaining", Header}}},
                               seconds(2));
  };
  cr_expect(RemainingTime("500") == milliseconds(500));
  cr_expect(RemainingTime("9000") == seconds(2));
  cr_expect(RemainingTime("-1") == Duration::zero());
  cr_expect(RemainingTime("soon") == seconds(2));
}
