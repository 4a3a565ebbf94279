#ifndef BLUEBELLBARROW_KERNEL_HTTPPARSER_H
#define BLUEBELLBARROW_KERNEL_HTTPPARSER_H

#include "httpmessage.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace bluebellbarrow {

/** Largest message that a parser accepts. */
struct HttpLimits {
  size_t MaxHeaderBytes = size_t{16} * 1024;
  size_t MaxBodyBytes = size_t{1024} * 1024;
};

/** Why bytes are no message that may be passed on. */
enum class HttpFault {
  None,
  BadSyntax,

  /** Two readers could see different messages in it. */
  Ambiguous,

  HeaderTooLarge,
  BodyTooLarge,
  UnknownEncoding,

  /** The connection ended within the message. */
  Cut,
};

/** Returns the status that answers a request with \a Fault. */
int faultStatus(HttpFault Fault);

/** Returns \a Fault in words, for logs. */
const char *faultText(HttpFault Fault);

/**
 * Reads one HTTP/1.x message after the other from the bytes of a connection.
 * A message is handed out only when all of it is there, and is refused when
 * its end could be seen in two places.
 *
 * Source: RFC 7230; the grammar is read by Boost.Beast.
 * Thread safety: none; owned by one task.
 */
class HttpParser {
public:
  enum class Kind { Request, Response };

  HttpParser(Kind What, HttpLimits Limits);
  ~HttpParser();

  HttpParser(const HttpParser &) = delete;
  HttpParser &operator=(const HttpParser &) = delete;

  /** Sets the limits of messages that have not begun. */
  void setLimits(const HttpLimits &New) { this->Limits = New; }

  /** Tells that the answers come to requests of HEAD. */
  void setBodyless(bool On) { this->Bodyless = On; }

  /** Appends received bytes and reads on in the current message. */
  void feed(std::string_view Bytes);

  /** Tells that no more bytes come. */
  void finish();

  /** Returns true once the head of the current message is read. */
  bool headRead() const;

  /** Returns true once the current message is whole. */
  bool whole() const;

  HttpFault fault() const { return this->Fault; }

  /** Returns true when bytes of a message were received but not all. */
  bool begun() const;

  /** Returns the bytes that were received after the current message. */
  size_t surplus() const { return this->Buffer.size(); }

  /** Returns the bytes that are held of this message and the next ones. */
  size_t held() const {
    return this->Buffer.size() + this->Request.Body.size() +
           this->Response.Body.size();
  }

  /** Goes on to the next message. \pre whole(). */
  void next();

  /** Forgets everything, for the bytes of another connection. */
  void reset();

  /** Returns the current request. \pre headRead(), of Kind::Request. */
  HttpRequest &request() { return this->Request; }

  /** Returns the current answer. \pre headRead(), of Kind::Response. */
  HttpResponse &response() { return this->Response; }

  /** Returns true when the sender keeps the connection open afterwards. */
  bool keepsAlive() const { return this->KeepsAlive; }

  /** Returns true when the message is of HTTP/1.0. */
  bool isOld() const { return this->Old; }

private:
  class Reader;
  template <bool IsRequest> class BeastReader;

  void parse();
  bool findHead();
  void begin();
  HttpFault checkHead() const;
  const HttpHeaders &headers() const;

  Kind What;
  HttpLimits Limits;
  HttpFault Fault = HttpFault::None;

  /** Received bytes that the reader has not consumed. */
  std::string Buffer;

  /** Where the search for the end of the head goes on. */
  size_t Searched = 0;

  std::unique_ptr<Reader> Current;
  HttpRequest Request;
  HttpResponse Response;
  bool Bodyless = false;
  bool KeepsAlive = true;
  bool Old = false;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_HTTPPARSER_H
