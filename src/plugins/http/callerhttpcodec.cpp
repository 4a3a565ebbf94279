#include "callerhttpcodec.h"

#include "kernel/httpheaders.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace bluebellbarrow {

namespace {

int64_t integerHeader(const HttpRequest &Request, const std::string &Name,
                      int64_t Default) {
  int64_t Number = Default;
  if (Name.empty())
    return Number;
  const std::string_view Text = headerValue(Request.Headers, Name);
  std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  return Number;
}

} // namespace

std::string_view CallerHttpCodec::requestId(const HttpRequest &Request) const {
  return headerValue(Request.Headers, this->Protocol.headerNames().RequestId);
}

std::string CallerHttpCodec::host(const HttpRequest &Request) const {
  std::string Host(headerValue(Request.Headers, "host"));
  Host.resize(std::min(Host.size(), Host.find(':')));
  std::transform(Host.begin(), Host.end(), Host.begin(), [](unsigned char C) {
    return static_cast<char>(std::tolower(C));
  });
  return Host;
}

int64_t CallerHttpCodec::depth(const HttpRequest &Request) const {
  return integerHeader(Request, this->Protocol.headerNames().Depth, 0);
}

Duration CallerHttpCodec::remainingTime(const HttpRequest &Request,
                                        Duration Max) const {
  const int64_t MaxMillis = toMilliseconds(Max);
  const int64_t Requested = integerHeader(
      Request, this->Protocol.headerNames().DeadlineRemaining, MaxMillis);
  return milliseconds(std::clamp<int64_t>(Requested, 0, MaxMillis));
}

std::string_view
CallerHttpCodec::idempotencyKey(const HttpRequest &Request) const {
  const std::string &Name = this->Protocol.headerNames().IdempotencyKey;
  return Name.empty() ? std::string_view() : headerValue(Request.Headers, Name);
}

RequestMessage CallerHttpCodec::toRequestMessage(
    const HttpRequest &Request, const RouteEntry &Route,
    const ServiceName &Service, const ServiceName &CallerService) const {
  RequestMessage Message{
      .Service = Service,
      .Route = Route.Name,
      .CallerService = CallerService,
      .Priority = static_cast<uint8_t>(Route.EffectivePolicy->Priority),
      .Idempotent = Route.EffectivePolicy->Idempotent,
      .Depth = static_cast<uint8_t>(this->depth(Request) + 1),
      .Request = Request};
  removeConnectionHeaders(Message.Request.Headers);
  return Message;
}

HttpResponse
CallerHttpCodec::makeErrorResponse(int Status, const char *OutcomeName,
                                   const std::string &Reason) const {
  const CallHeaderNames &Names = this->Protocol.headerNames();
  HttpResponse Response{.Status = Status, .Headers = {}, .Body = Reason + "\n"};
  const std::array<HttpHeader, 3> CallHeaders = {{{Names.Outcome, OutcomeName},
                                                  {Names.Reason, Reason},
                                                  {Names.NoRetry, "1"}}};
  for (const HttpHeader &Header : CallHeaders)
    if (!Header.Name.empty())
      Response.Headers.push_back(Header);
  return Response;
}

} // namespace bluebellbarrow
