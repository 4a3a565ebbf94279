#ifndef BLUEBELLBARROW_KERNEL_HTTPMESSAGE_H
#define BLUEBELLBARROW_KERNEL_HTTPMESSAGE_H

#include <string>
#include <string_view>
#include <vector>

namespace bluebellbarrow {

/** One header; its name is kept as it was sent and has no colon. */
struct HttpHeader {
  std::string Name;
  std::string Value;

  /** Reads or writes the header with a cereal archive. */
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Name, this->Value);
  }
};

using HttpHeaders = std::vector<HttpHeader>;

/** A request, whole. */
struct HttpRequest {
  std::string Method;

  /** Path with query, exactly as sent. */
  std::string RequestTarget;

  HttpHeaders Headers;
  std::string Body;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Method, this->RequestTarget, this->Headers, this->Body);
  }
};

/** An answer, whole. */
struct HttpResponse {
  int Status = 0;
  HttpHeaders Headers;
  std::string Body;

  /** Asks the server to close the connection after this answer. */
  bool CloseConnection = false;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Status, this->Headers, this->Body);
  }
};

/** Returns whether two header names are the same. Thread safety: safe. */
bool sameHeaderName(std::string_view A, std::string_view B);

/** Returns the first value of header \a Name, or an empty string. */
std::string_view headerValue(const HttpHeaders &Headers, std::string_view Name);

/** Returns true when header \a Name is there. Thread safety: safe. */
bool hasHeader(const HttpHeaders &Headers, std::string_view Name);

/** Replaces every header \a Name by one. */
void setHeader(HttpHeaders &Headers, const std::string &Name,
               const std::string &Value);

/** Removes every header \a Name. */
void removeHeader(HttpHeaders &Headers, std::string_view Name);

/**
 * Removes the headers that concern one connection only: those of RFC 7230,
 * section 6.1, those that "Connection" names, and the framing of the body.
 */
void removeConnectionHeaders(HttpHeaders &Headers);

/** Returns whether "Connection" holds \a Option. Thread safety: safe. */
bool hasConnectionOption(const HttpHeaders &Headers, std::string_view Option);

/** Returns the path of a request target, without the query. */
inline std::string extractPath(const std::string &Target) {
  return Target.substr(0, Target.find('?'));
}

/** Returns the message as it goes over the wire, with its length. */
std::string encodeRequest(const HttpRequest &Request);

/**
 * Returns the answer as it goes over the wire, with its length.
 *
 * \a ToHead leaves the body out; \a KeepAlive adds what a client of HTTP/1.0
 * needs to keep the connection.
 */
std::string encodeResponse(const HttpResponse &Response, bool ToHead,
                           bool KeepAlive);

/** Returns the usual reason phrase of \a Status. Thread safety: safe. */
const char *reasonPhrase(int Status);

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_HTTPMESSAGE_H
