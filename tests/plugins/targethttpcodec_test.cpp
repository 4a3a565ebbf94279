#include "kernel/httpheaders.h"
#include "plugins/http/callerhttpcodec.h"
#include "plugins/http/targethttpcodec.h"

#include <criterion/criterion.h>

using namespace bluebellbarrow; // NOLINT: test

namespace {

const CallProtocol &dialect() {
  static const CallProtocol Names({.RequestId = "Id",
                                   .EchoesRequestId = true,
                                   .DeadlineRemaining = "Left",
                                   .CallerService = "From",
                                   .ExpectedTarget = "To",
                                   .TargetId = "",
                                   .NotRun = "Not-Run",
                                   .NotRunValue = "1",
                                   .Load = "Load",
                                   .Signature = "Mark",
                                   .Depth = "",
                                   .Route = "",
                                   .IdempotencyKey = "",
                                   .Outcome = "",
                                   .Reason = "",
                                   .NoRetry = ""});
  return Names;
}

std::string valueOf(const HttpRequest &Request, const char *Name) {
  return std::string(headerValue(Request.Headers, Name));
}

ReplyMessage replyTo(int Status, const HttpHeaders &Headers) {
  return TargetHttpCodec(dialect()).toReplyMessage(
      RequestNumber(7),
      {.Outcome = CallOutcome::Answered,
       .Response = {.Status = Status, .Headers = Headers, .Body = "b"}});
}

} // namespace

Test(targetmessages, claims_of_the_caller_are_replaced) {
  const HttpRequest Sent{
      .Method = "GET",
      .RequestTarget = "/",
      .Headers = {{"From", "forged"}, {"To", "forged"}, {"Left", "9000"}},
      .Body = ""};
  const RequestMessage Message{.CallerService = ServiceName("s"),
                               .Request = Sent};
  const TargetHttpCodec Messages(dialect());
  const HttpRequest Known = Messages.toHttpRequest(
      Message, TargetInstanceId("t"), milliseconds(1200));
  cr_expect_str_eq(valueOf(Known, "From").c_str(), "s");
  cr_expect_str_eq(valueOf(Known, "To").c_str(), "t");
  cr_expect_str_eq(valueOf(Known, "Left").c_str(), "1200");
  const HttpRequest Unknown =
      Messages.toHttpRequest(Message, TargetInstanceId(), -milliseconds(5));
  cr_expect_not(hasHeader(Unknown.Headers, "To"));
  cr_expect_str_eq(valueOf(Unknown, "Left").c_str(), "1");
}

Test(targetmessages, only_a_marked_answer_is_one) {
  cr_expect_eq(replyTo(200, {{"Mark", "m"}}).Result, Outcome::Answered);
  cr_expect_eq(replyTo(200, {}).Result, Outcome::Unknown);
  cr_expect_eq(replyTo(500, {}).Result, Outcome::Answered);
}

Test(targetmessages, not_run_is_what_the_target_says) {
  cr_expect_eq(replyTo(503, {{"Not-Run", "1"}}).Result, Outcome::NotRun);
  cr_expect_eq(replyTo(503, {{"Not-Run", "0"}}).Result, Outcome::Answered);
  cr_expect_eq(replyTo(503, {}).Result, Outcome::Answered);
  cr_expect_eq(replyTo(421, {}).Result, Outcome::NotRun);
  cr_expect(replyTo(421, {}).ReachedTarget);
}

Test(targetmessages, a_lost_answer_is_unknown_and_an_unsent_request_not_run) {
  const TargetHttpCodec Messages(dialect());
  const ReplyMessage Lost = Messages.toReplyMessage(
      RequestNumber(7),
      {.Outcome = CallOutcome::NoResponse, .Response = {}, .Cause = "c"});
  cr_expect_eq(Lost.Result, Outcome::Unknown);
  const ReplyMessage Unsent = Messages.toReplyMessage(
      RequestNumber(7), {.Outcome = CallOutcome::NotSent});
  cr_expect_eq(Unsent.Result, Outcome::NotRun);
  cr_expect_not(Unsent.ReachedTarget);
}

Test(targetmessages, the_load_and_the_connection_stay_at_the_node) {
  const ReplyMessage Reply =
      replyTo(200, {{"Mark", "m"}, {"Load", "1,2,3"}, {"Keep-Alive", "5"}});
  cr_expect_eq(Reply.Response.Headers.size(), 1);
}

Test(callermessages, the_time_left_lies_between_zero_and_the_limit) {
  const CallerHttpCodec Messages(dialect());
  const auto Left = [&Messages](const char *Said) {
    return Messages.remainingTime({.Headers = {{"Left", Said}}}, seconds(2));
  };
  cr_expect(Left("500") == milliseconds(500));
  cr_expect(Left("9000") == seconds(2));
  cr_expect(Left("-1") == Duration::zero());
  cr_expect(Left("soon") == seconds(2));
}
