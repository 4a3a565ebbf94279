#ifndef BLUEBELLBARROW_KERNEL_HTTPMESSAGE_H
#define BLUEBELLBARROW_KERNEL_HTTPMESSAGE_H

#include <string>
#include <string_view>
#include <vector>

namespace bluebellbarrow {

/** One header field. The name keeps its case and has no colon. */
struct HttpHeader {
  std::string Name;
  std::string Value;

  /** Loads or saves the header with a cereal archive. */
  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Name, this->Value);
  }
};

using HttpHeaders = std::vector<HttpHeader>;

/** A complete request. */
struct HttpRequest {
  std::string Method;

  /** Path with query, as sent. */
  std::string RequestTarget;

  HttpHeaders Headers;
  std::string Body;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Method, this->RequestTarget, this->Headers, this->Body);
  }
};

/** A complete response. */
struct HttpResponse {
  int Status = 0;
  HttpHeaders Headers;
  std::string Body;

  /** The server closes the connection after this response. */
  bool CloseConnection = false;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Status, this->Headers, this->Body);
  }
};

/** Returns true for the status of a final response. Thread safety: safe. */
inline bool isFinalStatus(int Status) { return Status >= 200 && Status < 600; }

/**
 * Returns true for a status that a response may have here: a final one, or an
 * interim one that a client need not ask for. Status 101 answers a request to
 * change the protocol, which is never sent.
 *
 * Source: RFC 7231, section 6; RFC 2518 (102), RFC 8297 (103).
 * Thread safety: safe.
 */
inline bool isValidStatus(int Status) {
  return isFinalStatus(Status) || Status == 100 || Status == 102 ||
         Status == 103;
}

/**
 * Returns whether two header names are equal, ignoring case.
 * Thread safety: safe.
 */
bool sameHeaderName(std::string_view A, std::string_view B);

/** Returns the value of the first header \a Name, or an empty string. */
std::string_view headerValue(const HttpHeaders &Headers, std::string_view Name);

/** Returns true when header \a Name is present. Thread safety: safe. */
bool hasHeader(const HttpHeaders &Headers, std::string_view Name);

/** Replaces all headers \a Name with one that has \a Value. */
void setHeader(HttpHeaders &Headers, const std::string &Name,
               const std::string &Value);

/** Removes all headers \a Name. */
void removeHeader(HttpHeaders &Headers, std::string_view Name);

/**
 * Removes the headers that apply to one connection only (RFC 7230, section
 * 6.1), those that "Connection" names, and those that frame the body.
 */
void removeConnectionHeaders(HttpHeaders &Headers);

/** Returns whether "Connection" lists \a Option. Thread safety: safe. */
bool hasConnectionOption(const HttpHeaders &Headers, std::string_view Option);

/** Returns the path in \a RequestTarget, without the query. */
inline std::string extractPath(const std::string &RequestTarget) {
  return RequestTarget.substr(0, RequestTarget.find('?'));
}

/**
 * Returns the request in the HTTP/1.1 format. Adds Content-Length unless the
 * body is empty and the method is GET, HEAD, DELETE or OPTIONS.
 */
std::string encodeRequest(const HttpRequest &Request);

/**
 * Returns the response in the HTTP/1.1 format. Adds Content-Length unless
 * responses with its status have no body.
 *
 * \a ForHeadRequest omits the body; \a KeepAlive adds the header that
 * an HTTP/1.0 client needs to keep the connection.
 */
std::string encodeResponse(HttpResponse Response, bool ForHeadRequest,
                           bool KeepAlive);

/** Returns the reason phrase of \a Status. Thread safety: safe. */
const char *reasonPhrase(int Status);

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_HTTPMESSAGE_H
