#include "targetmessages.h"

#include "kernel/httpheaders.h"

#include <algorithm>

namespace bluebellbarrow {

namespace {

constexpr int StatusMisdirected = 421;

bool isSuccess(int Status) { return Status >= 200 && Status < 300; }

/** Sets a header; leaves it where there is no name or no value. */
void setProperty(HttpHeaders &Headers, const std::string &Name,
                 const std::string &Value) {
  if (!Name.empty() && !Value.empty())
    setHeader(Headers, Name, Value);
}

} // namespace

HttpRequest TargetMessages::request(const RequestMessage &Message,
                                    const TargetId &Expected,
                                    Duration Left) const {
  const CallHeaderNames &Names = this->Dialect.names();
  HttpRequest Request = Message.Call;
  HttpHeaders &Headers = Request.Headers;
  for (const std::string *Name : {&Names.CallerService, &Names.ExpectedTarget})
    if (!Name->empty())
      removeHeader(Headers, *Name);
  const int64_t Remaining = std::max<int64_t>(1, toMilliseconds(Left));
  setProperty(Headers, Names.Remaining, std::to_string(Remaining));
  setProperty(Headers, Names.CallerService, Message.Caller.str());
  setProperty(Headers, Names.ExpectedTarget, Expected.str());
  setProperty(Headers, Names.Depth, std::to_string(Message.Depth));
  setProperty(Headers, Names.Route, Message.Route.str());
  return Request;
}

bool TargetMessages::saysNotRun(const HttpResponse &Response) const {
  const CallHeaderNames &Names = this->Dialect.names();
  if (!Names.ExpectedTarget.empty() && Response.Status == StatusMisdirected)
    return true;
  if (!hasHeader(Response.Headers, Names.NotRun))
    return false;
  return Names.NotRunValue.empty() ||
         headerValue(Response.Headers, Names.NotRun) == Names.NotRunValue;
}

bool TargetMessages::isSigned(const HttpResponse &Response) const {
  const std::string &Signature = this->Dialect.names().Signature;
  return Signature.empty() || !isSuccess(Response.Status) ||
         hasHeader(Response.Headers, Signature);
}

ReplyMessage TargetMessages::reply(RequestNumber Number,
                                   const CallResult &Result) const {
  ReplyMessage Message{.Number = Number, .ReachedTarget = true};
  if (Result.End == CallEnd::NotSent) {
    Message.Result = Outcome::NotRun;
    Message.Reason = "target can't be reached";
    Message.ReachedTarget = false;
  } else if (Result.End != CallEnd::Answered) {
    Message.Result = Outcome::Unknown;
    Message.Reason = "target: " + Result.Cause;
  } else {
    this->readAnswer(Result.Response, Message);
  }
  return Message;
}

void TargetMessages::readAnswer(const HttpResponse &Response,
                                ReplyMessage &Message) const {
  const CallHeaderNames &Names = this->Dialect.names();
  if (this->saysNotRun(Response)) {
    Message.Result = Outcome::NotRun;
    Message.Reason = "target refused";
    Message.NoRetry = !Names.NoRetry.empty() &&
                      !headerValue(Response.Headers, Names.NoRetry).empty();
    return;
  }
  if (!this->isSigned(Response)) {
    Message.Result = Outcome::Unknown;
    Message.Reason = "target: answer without its mark";
    return;
  }
  Message.Result = Outcome::Answered;
  Message.Answer = Response;
  removeConnectionHeaders(Message.Answer.Headers);
  if (!Names.Load.empty())
    removeHeader(Message.Answer.Headers, Names.Load);
}

} // namespace bluebellbarrow
