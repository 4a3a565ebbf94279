#ifndef BLUEBELLBARROW_KERNEL_HTTPPARSER_H
#define BLUEBELLBARROW_KERNEL_HTTPPARSER_H

#include "httpmessage.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace bluebellbarrow {

/** Size limits of the messages that a parser accepts. */
struct HttpLimits {
  size_t MaxHeaderBytes = size_t{16} * 1024;
  size_t MaxBodyBytes = size_t{1024} * 1024;
};

/** Why a message was rejected. */
enum class HttpParseError {
  None,
  BadSyntax,

  /** Two parsers could read different messages from the same bytes. */
  Ambiguous,

  HeaderTooLarge,
  BodyTooLarge,
  UnsupportedEncoding,

  /** The connection ended within the message. */
  Truncated,

  /** A response has a status that HTTP does not have here. */
  InvalidStatus,
};

/** Returns the status of the response to a request with \a ParseError. */
int parseErrorStatus(HttpParseError ParseError);

/** Returns the text of \a ParseError for logs and responses. */
const char *parseErrorText(HttpParseError ParseError);

/**
 * Parses the HTTP/1.x messages of one connection, one after the other. A
 * message is complete only once all of it is received, and is rejected when
 * its length is ambiguous (request smuggling, RFC 7230, section 9.5).
 *
 * Source: RFC 7230; Boost.Beast parses the grammar.
 * Thread safety: none; owned by one task.
 */
class HttpParser {
public:
  enum class Kind { Request, Response };

  HttpParser(Kind MessageKind, HttpLimits Limits);
  ~HttpParser();

  HttpParser(const HttpParser &) = delete;
  HttpParser &operator=(const HttpParser &) = delete;

  /** Sets the limits of messages whose header is not parsed yet. */
  void setLimits(const HttpLimits &NewLimits) { this->Limits = NewLimits; }

  /** Sets whether the next responses are to HEAD requests and have no body. */
  void setSkipBody(bool Enabled) { this->SkipBody = Enabled; }

  /** Appends received bytes and continues to parse the current message. */
  void feed(std::string_view Bytes);

  /** Signals that the connection has ended. */
  void finish();

  /** Returns true once the header of the current message is parsed. */
  bool isHeaderComplete() const;

  /** Returns true once the current message is complete. */
  bool isComplete() const;

  HttpParseError error() const { return this->ParseError; }

  /** Returns true when bytes of the current message were received. */
  bool hasStarted() const;

  /**
   * Returns the number of received bytes that are not parsed yet. When the
   * message is complete, they belong to the next one.
   */
  size_t surplusBytes() const { return this->Buffer.size(); }

  /** Returns the number of buffered bytes of this and later messages. */
  size_t bufferedBytes() const {
    return this->Buffer.size() + this->Request.Body.size() +
           this->Response.Body.size();
  }

  /** Starts to parse the next message. \pre isComplete(). */
  void next();

  /** Discards all state, for the bytes of another connection. */
  void reset();

  /** Returns the request. \pre isHeaderComplete(), for Kind::Request. */
  HttpRequest &request() { return this->Request; }

  const HttpRequest &request() const { return this->Request; }

  /** Returns the response. \pre isHeaderComplete(), for Kind::Response. */
  HttpResponse &response() { return this->Response; }

  /** Returns true when the sender keeps the connection open afterwards. */
  bool shouldKeepAlive() const { return this->KeepAlive; }

  /** Returns true for an HTTP/1.0 message. */
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

  /** Offset in Buffer at which the search for the header's end continues. */
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
