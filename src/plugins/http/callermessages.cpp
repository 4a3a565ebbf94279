#include "callermessages.h"

#include "kernel/httpheaders.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

namespace bluebellbarrow {

namespace {

int64_t numberHeader(const HttpRequest &Request, const std::string &Name,
                     int64_t Default) {
  int64_t Number = Default;
  if (Name.empty())
    return Number;
  const std::string_view Text = headerValue(Request.Headers, Name);
  std::from_chars(Text.data(), Text.data() + Text.size(), Number);
  return Number;
}

} // namespace

std::string_view CallerMessages::requestId(const HttpRequest &Request) const {
  return headerValue(Request.Headers, this->Dialect.names().RequestId);
}

std::string CallerMessages::host(const HttpRequest &Request) const {
  std::string Host(headerValue(Request.Headers, "host"));
  Host.resize(std::min(Host.size(), Host.find(':')));
  std::transform(
      Host.begin(), Host.end(), Host.begin(),
      [](unsigned char Each) { return static_cast<char>(std::tolower(Each)); });
  return Host;
}

int64_t CallerMessages::depth(const HttpRequest &Request) const {
  return numberHeader(Request, this->Dialect.names().Depth, 0);
}

Duration CallerMessages::remaining(const HttpRequest &Request,
                                   Duration Longest) const {
  const int64_t Most = toMilliseconds(Longest);
  const int64_t Asked =
      numberHeader(Request, this->Dialect.names().Remaining, Most);
  return milliseconds(std::clamp<int64_t>(Asked, 0, Most));
}

std::string_view
CallerMessages::idempotencyKey(const HttpRequest &Request) const {
  const std::string &Name = this->Dialect.names().IdempotencyKey;
  return Name.empty() ? std::string_view() : headerValue(Request.Headers, Name);
}

RequestMessage CallerMessages::message(const HttpRequest &Request,
                                       const RouteEntry &Route,
                                       const ServiceName &Service,
                                       const ServiceName &Caller) const {
  RequestMessage Message{
      .Service = Service,
      .Route = Route.Name,
      .Caller = Caller,
      .Priority = static_cast<uint8_t>(Route.Effective->Priority),
      .Idempotent = Route.Effective->Idempotent,
      .Depth = static_cast<uint8_t>(this->depth(Request) + 1),
      .Call = Request};
  removeConnectionHeaders(Message.Call.Headers);
  return Message;
}

HttpResponse CallerMessages::ownAnswer(int Status, const char *Outcome,
                                       const std::string &Reason) const {
  const CallHeaderNames &Names = this->Dialect.names();
  HttpResponse Response{.Status = Status, .Headers = {}, .Body = Reason + "\n"};
  const std::array<HttpHeader, 3> Properties = {
      {{Names.Outcome, Outcome}, {Names.Reason, Reason}, {Names.NoRetry, "1"}}};
  for (const HttpHeader &Each : Properties)
    if (!Each.Name.empty())
      Response.Headers.push_back(Each);
  return Response;
}

} // namespace bluebellbarrow
