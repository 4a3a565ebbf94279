#include "httpmessage.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace bluebellbarrow {

namespace {

/** Headers that concern one connection, or the framing of a body. */
constexpr std::array<std::string_view, 11> ConnectionHeaders = {
    "connection",          "keep-alive", "proxy-connection",
    "proxy-authenticate",  "te",         "trailer",
    "proxy-authorization", "upgrade",    "transfer-encoding",
    "content-length",      "expect"};

struct StatusText {
  int Status;
  const char *Reason;
};

constexpr std::array<StatusText, 22> StatusTexts = {{
    {200, "OK"},
    {201, "Created"},
    {202, "Accepted"},
    {204, "No Content"},
    {301, "Moved Permanently"},
    {302, "Found"},
    {304, "Not Modified"},
    {400, "Bad Request"},
    {401, "Unauthorized"},
    {403, "Forbidden"},
    {404, "Not Found"},
    {405, "Method Not Allowed"},
    {408, "Request Timeout"},
    {413, "Payload Too Large"},
    {421, "Misdirected Request"},
    {429, "Too Many Requests"},
    {431, "Request Header Fields Too Large"},
    {500, "Internal Server Error"},
    {501, "Not Implemented"},
    {502, "Bad Gateway"},
    {503, "Service Unavailable"},
    {504, "Gateway Timeout"},
}};

char lowered(char Letter) {
  return static_cast<char>(std::tolower(static_cast<unsigned char>(Letter)));
}

std::string_view trimmed(std::string_view Text) {
  while (!Text.empty() && (Text.front() == ' ' || Text.front() == '\t'))
    Text.remove_prefix(1);
  while (!Text.empty() && (Text.back() == ' ' || Text.back() == '\t'))
    Text.remove_suffix(1);
  return Text;
}

/** Calls \a Visit with each item of a comma-separated list. */
template <typename Visitor>
void forEachItem(std::string_view List, const Visitor &Visit) {
  while (!List.empty()) {
    const size_t Comma = List.find(',');
    Visit(trimmed(List.substr(0, Comma)));
    if (Comma == std::string_view::npos)
      return;
    List.remove_prefix(Comma + 1);
  }
}

bool isConnectionHeader(std::string_view Name) {
  return std::any_of(
      ConnectionHeaders.begin(), ConnectionHeaders.end(),
      [Name](std::string_view Each) { return sameHeaderName(Each, Name); });
}

void appendHeaders(std::string &Out, const HttpHeaders &Headers) {
  for (const HttpHeader &Each : Headers) {
    Out += Each.Name;
    Out += ": ";
    Out += Each.Value;
    Out += "\r\n";
  }
}

void appendLength(std::string &Out, size_t Length) {
  Out += "Content-Length: ";
  Out += std::to_string(Length);
  Out += "\r\n";
}

/** Returns true when an answer with \a Status never has a body. */
bool hasNoBody(int Status) {
  return Status / 100 == 1 || Status == 204 || Status == 304;
}

} // namespace

bool sameHeaderName(std::string_view A, std::string_view B) {
  return A.size() == B.size() &&
         std::equal(A.begin(), A.end(), B.begin(),
                    [](char X, char Y) { return lowered(X) == lowered(Y); });
}

std::string_view headerValue(const HttpHeaders &Headers,
                             std::string_view Name) {
  for (const HttpHeader &Each : Headers)
    if (sameHeaderName(Each.Name, Name))
      return Each.Value;
  return {};
}

bool hasHeader(const HttpHeaders &Headers, std::string_view Name) {
  return std::any_of(Headers.begin(), Headers.end(),
                     [Name](const HttpHeader &Each) {
                       return sameHeaderName(Each.Name, Name);
                     });
}

void removeHeader(HttpHeaders &Headers, std::string_view Name) {
  std::erase_if(Headers, [Name](const HttpHeader &Each) {
    return sameHeaderName(Each.Name, Name);
  });
}

void setHeader(HttpHeaders &Headers, const std::string &Name,
               const std::string &Value) {
  removeHeader(Headers, Name);
  Headers.push_back({Name, Value});
}

void removeConnectionHeaders(HttpHeaders &Headers) {
  std::vector<std::string> Named;
  for (const HttpHeader &Each : Headers)
    if (sameHeaderName(Each.Name, "connection"))
      forEachItem(Each.Value, [&Named](std::string_view Item) {
        Named.emplace_back(Item);
      });
  std::erase_if(Headers, [&Named](const HttpHeader &Each) {
    const bool IsNamed =
        std::any_of(Named.begin(), Named.end(), [&Each](const auto &Name) {
          return sameHeaderName(Name, Each.Name);
        });
    return IsNamed || isConnectionHeader(Each.Name);
  });
}

bool hasConnectionOption(const HttpHeaders &Headers, std::string_view Option) {
  bool Found = false;
  for (const HttpHeader &Each : Headers)
    if (sameHeaderName(Each.Name, "connection"))
      forEachItem(Each.Value, [&](std::string_view Item) {
        Found = Found || sameHeaderName(Item, Option);
      });
  return Found;
}

std::string encodeRequest(const HttpRequest &Request) {
  std::string Out;
  Out.reserve(Request.RequestTarget.size() + Request.Body.size() + 512);
  Out += Request.Method;
  Out += ' ';
  Out += Request.RequestTarget;
  Out += " HTTP/1.1\r\n";
  appendHeaders(Out, Request.Headers);
  const bool Bare = Request.Method == "GET" || Request.Method == "HEAD" ||
                    Request.Method == "DELETE" || Request.Method == "OPTIONS";
  if (!Request.Body.empty() || !Bare)
    appendLength(Out, Request.Body.size());
  Out += "\r\n";
  Out += Request.Body;
  return Out;
}

std::string encodeResponse(const HttpResponse &Response, bool ToHead,
                           bool KeepAlive) {
  std::string Out;
  Out.reserve(Response.Body.size() + 512);
  Out += "HTTP/1.1 ";
  Out += std::to_string(Response.Status);
  Out += ' ';
  Out += reasonPhrase(Response.Status);
  Out += "\r\n";
  appendHeaders(Out, Response.Headers);
  if (Response.CloseConnection)
    Out += "Connection: close\r\n";
  else if (KeepAlive)
    Out += "Connection: keep-alive\r\n";
  if (!hasNoBody(Response.Status))
    appendLength(Out, Response.Body.size());
  Out += "\r\n";
  if (!ToHead && !hasNoBody(Response.Status))
    Out += Response.Body;
  return Out;
}

const char *reasonPhrase(int Status) {
  for (const StatusText &Each : StatusTexts)
    if (Each.Status == Status)
      return Each.Reason;
  return "Unknown";
}

} // namespace bluebellbarrow
