#include "targethttpcodec.h"

#include "kernel/httpheaders.h"

#include <algorithm>

namespace bluebellbarrow {

namespace {

constexpr int StatusMisdirected = 421;

bool isSuccess(int Status) { return Status >= 200 && Status < 300; }

/** Sets a header, unless its name or value is empty. */
void setIfPresent(HttpHeaders &Headers, const std::string &Name,
                  const std::string &Value) {
  if (!Name.empty() && !Value.empty())
    setHeader(Headers, Name, Value);
}

} // namespace

HttpRequest TargetHttpCodec::toHttpRequest(const RequestMessage &Message,
                                           const TargetInstanceId &Expected,
                                           Duration Remaining) const {
  const CallHeaderNames &Names = this->Protocol.headerNames();
  HttpRequest Request = Message.Request;
  HttpHeaders &Headers = Request.Headers;
  // setIfPresent() would keep the caller's header when the value is empty.
  for (const std::string *Name : {&Names.CallerService, &Names.ExpectedTarget})
    if (!Name->empty())
      removeHeader(Headers, *Name);
  const int64_t RemainingMillis =
      std::max<int64_t>(1, toMilliseconds(Remaining));
  setIfPresent(Headers, Names.DeadlineRemaining,
               std::to_string(RemainingMillis));
  setIfPresent(Headers, Names.CallerService, Message.CallerService.str());
  setIfPresent(Headers, Names.ExpectedTarget, Expected.str());
  setIfPresent(Headers, Names.Depth, std::to_string(Message.Depth));
  setIfPresent(Headers, Names.Route, Message.Route.str());
  return Request;
}

bool TargetHttpCodec::isNotRunResponse(const HttpResponse &Response) const {
  const CallHeaderNames &Names = this->Protocol.headerNames();
  if (!Names.ExpectedTarget.empty() && Response.Status == StatusMisdirected)
    return true;
  if (!hasHeader(Response.Headers, Names.NotRun))
    return false;
  return Names.NotRunValue.empty() ||
         headerValue(Response.Headers, Names.NotRun) == Names.NotRunValue;
}

bool TargetHttpCodec::passesSignatureCheck(const HttpResponse &Response) const {
  const std::string &Signature = this->Protocol.headerNames().Signature;
  return Signature.empty() || !isSuccess(Response.Status) ||
         hasHeader(Response.Headers, Signature);
}

ReplyMessage TargetHttpCodec::toReplyMessage(RequestNumber Number,
                                             CallResult Result) const {
  ReplyMessage Message{.Number = Number, .ReachedTarget = true};
  if (Result.Outcome == CallOutcome::NotSent) {
    Message.Result = Outcome::NotRun;
    Message.Reason = "target can't be reached";
    Message.ReachedTarget = false;
  } else if (Result.Outcome != CallOutcome::Answered) {
    Message.Result = Outcome::Unknown;
    Message.Reason = "target: " + Result.Cause;
    // Another target would probably send as much.
    Message.NoRetry = Result.ExceededLimit;
  } else {
    this->decodeResponse(std::move(Result.Response), Message);
  }
  return Message;
}

void TargetHttpCodec::decodeResponse(HttpResponse Response,
                                     ReplyMessage &Message) const {
  const CallHeaderNames &Names = this->Protocol.headerNames();
  if (this->isNotRunResponse(Response)) {
    Message.Result = Outcome::NotRun;
    Message.Reason = "target refused";
    Message.NoRetry = !Names.NoRetry.empty() &&
                      !headerValue(Response.Headers, Names.NoRetry).empty();
    return;
  }
  if (!this->passesSignatureCheck(Response)) {
    Message.Result = Outcome::Unknown;
    Message.Reason = "target: answer without its mark";
    return;
  }
  Message.Result = Outcome::Answered;
  Message.Response = std::move(Response);
  removeConnectionHeaders(Message.Response.Headers);
  if (!Names.Load.empty())
    removeHeader(Message.Response.Headers, Names.Load);
}

} // namespace bluebellbarrow
