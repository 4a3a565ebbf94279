#include "httpmessage.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace bluebellbarrow {

namespace {

/** Headers that apply to one connection or frame a body; in lower case. */
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

char toLower(char Character) {
  return static_cast<char>(std::tolower(static_cast<unsigned char>(Character)));
}

std::string_view trim(std::string_view Text) {
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
    Visit(trim(List.substr(0, Comma)));
    if (Comma == std::string_view::npos)
      return;
    List.remove_prefix(Comma + 1);
  }
}

bool isConnectionHeader(std::string_view Name) {
  return std::any_of(
      ConnectionHeaders.begin(), ConnectionHeaders.end(),
      [Name](std::string_view Header) { return sameHeaderName(Header, Name); });
}

void appendHeaders(std::string &Message, const HttpHeaders &Headers) {
  for (const HttpHeader &Header : Headers) {
    Message += Header.Name;
    Message += ": ";
    Message += Header.Value;
    Message += "\r\n";
  }
}

void appendLength(std::string &Message, size_t Length) {
  Message += "Content-Length: ";
  Message += std::to_string(Length);
  Message += "\r\n";
}

/** Returns true when a response with \a Status never has a body. */
bool hasNoBody(int Status) {
  return Status / 100 == 1 || Status == 204 || Status == 304;
}

} // namespace

bool sameHeaderName(std::string_view A, std::string_view B) {
  return A.size() == B.size() &&
         std::equal(A.begin(), A.end(), B.begin(),
                    [](char X, char Y) { return toLower(X) == toLower(Y); });
}

std::string_view headerValue(const HttpHeaders &Headers,
                             std::string_view Name) {
  for (const HttpHeader &Header : Headers)
    if (sameHeaderName(Header.Name, Name))
      return Header.Value;
  return {};
}

bool hasHeader(const HttpHeaders &Headers, std::string_view Name) {
  return std::any_of(Headers.begin(), Headers.end(),
                     [Name](const HttpHeader &Header) {
                       return sameHeaderName(Header.Name, Name);
                     });
}

void removeHeader(HttpHeaders &Headers, std::string_view Name) {
  std::erase_if(Headers, [Name](const HttpHeader &Header) {
    return sameHeaderName(Header.Name, Name);
  });
}

void setHeader(HttpHeaders &Headers, const std::string &Name,
               const std::string &Value) {
  removeHeader(Headers, Name);
  Headers.push_back({Name, Value});
}

void removeConnectionHeaders(HttpHeaders &Headers) {
  std::vector<std::string> Listed;
  for (const HttpHeader &Header : Headers)
    if (sameHeaderName(Header.Name, "connection"))
      forEachItem(Header.Value, [&Listed](std::string_view Item) {
        Listed.emplace_back(Item);
      });
  std::erase_if(Headers, [&Listed](const HttpHeader &Header) {
    const bool IsListed =
        std::any_of(Listed.begin(), Listed.end(), [&Header](const auto &Name) {
          return sameHeaderName(Name, Header.Name);
        });
    return IsListed || isConnectionHeader(Header.Name);
  });
}

bool hasConnectionOption(const HttpHeaders &Headers, std::string_view Option) {
  bool Found = false;
  for (const HttpHeader &Header : Headers)
    if (sameHeaderName(Header.Name, "connection"))
      forEachItem(Header.Value, [&](std::string_view Item) {
        Found = Found || sameHeaderName(Item, Option);
      });
  return Found;
}

std::string encodeRequest(const HttpRequest &Request) {
  std::string Message;
  Message.reserve(Request.RequestTarget.size() + Request.Body.size() + 512);
  Message += Request.Method;
  Message += ' ';
  Message += Request.RequestTarget;
  Message += " HTTP/1.1\r\n";
  appendHeaders(Message, Request.Headers);
  const bool NoBodyExpected =
      Request.Method == "GET" || Request.Method == "HEAD" ||
      Request.Method == "DELETE" || Request.Method == "OPTIONS";
  if (!Request.Body.empty() || !NoBodyExpected)
    appendLength(Message, Request.Body.size());
  Message += "\r\n";
  Message += Request.Body;
  return Message;
}

std::string encodeResponse(HttpResponse Response, bool ForHeadRequest,
                           bool KeepAlive) {
  std::string Message;
  Message += "HTTP/1.1 ";
  Message += std::to_string(Response.Status);
  Message += ' ';
  Message += reasonPhrase(Response.Status);
  Message += "\r\n";
  appendHeaders(Message, Response.Headers);
  if (Response.CloseConnection)
    Message += "Connection: close\r\n";
  else if (KeepAlive)
    Message += "Connection: keep-alive\r\n";
  if (!hasNoBody(Response.Status))
    appendLength(Message, Response.Body.size());
  Message += "\r\n";
  if (ForHeadRequest || hasNoBody(Response.Status))
    return Message;
  // A long body is moved within its memory, and not copied.
  Response.Body.insert(0, Message);
  return std::move(Response.Body);
}

const char *reasonPhrase(int Status) {
  for (const StatusText &Entry : StatusTexts)
    if (Entry.Status == Status)
      return Entry.Reason;
  return "Unknown";
}

} // namespace bluebellbarrow
