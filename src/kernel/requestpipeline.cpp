#include "requestpipeline.h"

#include "pipelinepolicy.h"

namespace bluebellbarrow {

namespace {

bool hasPathTarget(const HttpRequest &Request) {
  return !Request.RequestTarget.empty() && Request.RequestTarget.front() == '/';
}

} // namespace

RequestPipeline::RequestPipeline(const HttpLimits &Limits,
                                 size_t MaxOpenRequests,
                                 IdempotencyCheck IsIdempotent)
    : Parser(HttpParser::Kind::Request, Limits),
      IsIdempotent(std::move(IsIdempotent)), MaxOpenRequests(MaxOpenRequests) {}

void RequestPipeline::setLimits(const HttpLimits &Limits,
                                size_t NewMaxOpenRequests) {
  this->Parser.setLimits(Limits);
  this->MaxOpenRequests = NewMaxOpenRequests;
}

void RequestPipeline::feed(std::string_view Bytes, TimePoint Now) {
  if (!this->Parser.hasStarted())
    this->RequestStart = Now;
  this->Arrivals.record(Bytes.size(), Now);
  this->Parser.feed(Bytes);
  this->Arrivals.keepLast(this->Parser.surplusBytes());
}

std::optional<RequestFault> RequestPipeline::fault() const {
  if (this->hasOpenRequests())
    return std::nullopt;
  const HttpParseError ParseError = this->Parser.error();
  if (ParseError != HttpParseError::None)
    return RequestFault{.Status = parseErrorStatus(ParseError),
                        .Reason = parseErrorText(ParseError)};
  if (this->Parser.isComplete() && !hasPathTarget(this->Parser.request()))
    return RequestFault{.Status = parseErrorStatus(HttpParseError::BadSyntax),
                        .Reason = "the request target is not a path"};
  return std::nullopt;
}

bool RequestPipeline::takeContinue() {
  if (this->hasOpenRequests() || this->ContinueDecided ||
      !this->Parser.isHeaderComplete())
    return false;
  this->ContinueDecided = true;
  const std::string_view Expected =
      headerValue(this->Parser.request().Headers, "expect");
  return !this->Parser.isComplete() && sameHeaderName(Expected, "100-continue");
}

bool RequestPipeline::mayStart() {
  if (!this->Parser.isComplete() || !hasPathTarget(this->Parser.request()))
    return false;
  if (!this->hasOpenRequests())
    return true;
  const PipelineState State{.OpenRequests = this->Responses.size(),
                            .MaxOpenRequests = this->MaxOpenRequests,
                            .StaysOpen = this->Responses.newest().KeepAlive &&
                                         !this->Closing};
  return mayStartBehindOpenRequests(
      State, this->IsIdempotent && this->IsIdempotent(this->Parser.request()));
}

std::optional<StartedRequest> RequestPipeline::startNext(ExchangeId Exchange) {
  if (!this->mayStart())
    return std::nullopt;
  StartedRequest Started{.Request = std::move(this->Parser.request()),
                         .ReceivedAt = this->RequestStart};
  this->Responses.add({.Exchange = Exchange,
                       .RequestBytes = Started.Request.Body.size(),
                       .IsHeadRequest = Started.Request.Method == "HEAD",
                       .IsHttp10 = this->Parser.isHttp10(),
                       .KeepAlive = this->Parser.shouldKeepAlive(),
                       .Response = std::nullopt});
  this->ContinueDecided = false;
  if (!this->Arrivals.empty())
    this->RequestStart = this->Arrivals.oldest();
  this->Parser.next();
  this->Arrivals.keepLast(this->Parser.surplusBytes());
  return Started;
}

std::optional<EncodedResponse> RequestPipeline::takeResponse() {
  std::optional<QueuedResponse> Next = this->Responses.takeNext();
  if (!Next)
    return std::nullopt;
  HttpResponse &Response = *Next->Response;
  const bool ClosesNow = this->Closing && !this->hasOpenRequests();
  Response.CloseConnection =
      Response.CloseConnection || !Next->KeepAlive || ClosesNow;
  const bool Close = Response.CloseConnection;
  return EncodedResponse{.Bytes = encodeResponse(std::move(Response),
                                                 Next->IsHeadRequest,
                                                 Next->IsHttp10),
                         .Close = Close};
}

} // namespace bluebellbarrow
