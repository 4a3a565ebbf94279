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
enum class HttpParseError {
  None,
  BadSyntax,

  /** Two readers could see different messages in it. */
  Ambiguous,

  HeaderTooLarge,
  BodyTooLarge,
  UnsupportedEncoding,

  /** The connection ended within the message. */
  Truncated,
};

/** Returns the status that answers a request with \a Fault. */
int parseErrorStatus(HttpParseError Fault);

/** Returns \a Fault in words, for logs. */
const char *parseErrorText(HttpParseError Fault);

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
  void setSkipBody(bool On) { this->SkipBody = On; }

  /** Appends received bytes and reads on in the current message. */
  void feed(std::string_view Bytes);

  /** Tells that no more bytes come. */
  void finish();

  /** Returns true once the head of the current message is read. */
  bool isHeaderComplete() const;

  /** Returns true once the current message is whole. */
  bool isComplete() const;

  HttpParseError error() const { return this->ParseError; }

  /** Returns true when bytes of a message were received but not all. */
  bool hasStarted() const;

  /** Returns the bytes that were received after the current message. */
  size_t surplusBytes() const { return this->Buffer.size(); }

  /** Returns the bytes that are held of this message and the next ones. */
  size_t bufferedBytes() const {
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
  bool shouldKeepAlive() const { return this->KeepAlive; }

  /** Returns true when the message is of HTTP/1.0. */
  bool isHttp10() const { return this->IsHttp10; }

private:
  class Reader;
  template <bool IsRequest> class BeastReader;

  void parse();
  bool findHeaderEnd();
  void createReader();
  HttpParseError checkHeader() const;
  const HttpHeaders &headers() const;

  Kind MessageKind;
  HttpLimits Limits;
  HttpParseError ParseError = HttpParseError::None;

  /** Received bytes that the reader has not consumed. */
  std::string Buffer;

  /** Where the search for the end of the head goes on. */
  size_t SearchOffset = 0;

  std::unique_ptr<Reader> CurrentReader;
  HttpRequest Request;
  HttpResponse Response;
  bool SkipBody = false;
  bool KeepAlive = true;
  bool IsHttp10 = false;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_HTTPPARSER_H
