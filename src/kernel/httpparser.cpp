#include "httpparser.h"

#include "releasememory.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>

#include <algorithm>

namespace bluebellbarrow {

namespace http = boost::beast::http; // NOLINT: customary alias

namespace {

using ErrorCode = boost::beast::error_code;
using BeastView = boost::beast::string_view;

constexpr std::string_view HeaderTerminator = "\r\n\r\n";

/** Converts an error of Beast; those not listed are syntax errors. */
HttpParseError toParseError(const ErrorCode &Code) {
  if (Code == http::error::header_limit)
    return HttpParseError::HeaderTooLarge;
  if (Code == http::error::body_limit || Code == http::error::buffer_overflow)
    return HttpParseError::BodyTooLarge;
  if (Code == http::error::partial_message ||
      Code == http::error::end_of_stream)
    return HttpParseError::Truncated;
  return HttpParseError::BadSyntax;
}

/** Room for a header in front of a response, which is then not copied. */
constexpr size_t SpareBytes = 4096;

size_t countHeader(const HttpHeaders &Headers, std::string_view Name) {
  return static_cast<size_t>(std::count_if(
      Headers.begin(), Headers.end(), [Name](const HttpHeader &Header) {
        return sameHeaderName(Header.Name, Name);
      }));
}

/** Returns true for a header with a folded line (RFC 7230, 3.2.4). */
bool isFolded(std::string_view Header) {
  return Header.find("\n ") != std::string_view::npos ||
         Header.find("\n\t") != std::string_view::npos;
}

} // namespace

/** Parses one message, a request or a response. */
class HttpParser::Reader {
public:
  virtual ~Reader() = default;

  virtual size_t put(std::string_view Bytes, ErrorCode &Code) = 0;
  virtual void finish(ErrorCode &Code) = 0;
  virtual bool isHeaderComplete() const = 0;
  virtual bool isComplete() const = 0;
  virtual bool shouldKeepAlive() const = 0;
};

/** Parses with Beast into the request or response of an HttpParser. */
template <bool IsRequest>
class HttpParser::BeastReader : public HttpParser::Reader,
                                private http::basic_parser<IsRequest> {
  using Base = http::basic_parser<IsRequest>;

public:
  explicit BeastReader(HttpParser &Parser) : Parser(Parser) {
    this->header_limit(static_cast<uint32_t>(Parser.Limits.MaxHeaderBytes));
    this->body_limit(Parser.Limits.MaxBodyBytes);
    this->eager(true);
    this->skip(Parser.SkipBody);
  }

  size_t put(std::string_view Bytes, ErrorCode &Code) override {
    return Base::put(boost::asio::const_buffer(Bytes.data(), Bytes.size()),
                     Code);
  }

  void finish(ErrorCode &Code) override { Base::put_eof(Code); }

  bool isHeaderComplete() const override { return this->is_header_done(); }

  bool isComplete() const override { return this->is_done(); }

  bool shouldKeepAlive() const override { return this->keep_alive(); }

private:
  HttpHeaders &headers() {
    return IsRequest ? this->Parser.Request.Headers
                     : this->Parser.Response.Headers;
  }

  std::string &body() {
    return IsRequest ? this->Parser.Request.Body : this->Parser.Response.Body;
  }

  size_t append(BeastView Bytes) {
    this->body().append(Bytes.data(), Bytes.size());
    return Bytes.size();
  }

  void on_request_impl(http::verb, BeastView Method, BeastView RequestTarget,
                       int Version, ErrorCode &) override {
    this->Parser.Request.Method.assign(Method.data(), Method.size());
    this->Parser.Request.RequestTarget.assign(RequestTarget.data(),
                                              RequestTarget.size());
    this->Parser.IsHttp10 = Version < 11;
  }

  void on_response_impl(int Status, BeastView, int Version,
                        ErrorCode &) override {
    this->Parser.Response.Status = Status;
    this->Parser.IsHttp10 = Version < 11;
  }

  void on_field_impl(http::field, BeastView Name, BeastView Value,
                     ErrorCode &) override {
    if (this->isHeaderComplete())
      return; // Trailers are dropped.
    this->headers().push_back({std::string(Name.data(), Name.size()),
                               std::string(Value.data(), Value.size())});
  }

  void on_header_impl(ErrorCode &) override {}

  void on_body_init_impl(const boost::optional<uint64_t> &Length,
                         ErrorCode &) override {
    // A long response must not be copied while it grows. A client's claim of a
    // length is not believed.
    if (!IsRequest && Length && *Length <= this->Parser.Limits.MaxBodyBytes)
      this->body().reserve(static_cast<size_t>(*Length) + SpareBytes);
  }

  size_t on_body_impl(BeastView Bytes, ErrorCode &) override {
    return this->append(Bytes);
  }

  void on_chunk_header_impl(uint64_t, BeastView, ErrorCode &) override {}

  size_t on_chunk_body_impl(uint64_t, BeastView Bytes, ErrorCode &) override {
    return this->append(Bytes);
  }

  void on_finish_impl(ErrorCode &) override {}

  HttpParser &Parser;
};

int parseErrorStatus(HttpParseError ParseError) {
  switch (ParseError) {
  case HttpParseError::HeaderTooLarge:
    return 431;
  case HttpParseError::BodyTooLarge:
    return 413;
  case HttpParseError::UnsupportedEncoding:
    return 501;
  default:
    return 400;
  }
}

const char *parseErrorText(HttpParseError ParseError) {
  switch (ParseError) {
  case HttpParseError::None:
    return "none";
  case HttpParseError::BadSyntax:
    return "bad syntax";
  case HttpParseError::Ambiguous:
    return "ambiguous message";
  case HttpParseError::HeaderTooLarge:
    return "header is too large";
  case HttpParseError::BodyTooLarge:
    return "body is too large";
  case HttpParseError::UnsupportedEncoding:
    return "unknown transfer encoding";
  case HttpParseError::Truncated:
    return "message was cut";
  case HttpParseError::InvalidStatus:
    return "invalid status";
  }
  return "unknown";
}

HttpParser::HttpParser(Kind MessageKind, HttpLimits Limits)
    : MessageKind(MessageKind), Limits(Limits) {}

HttpParser::~HttpParser() = default;

bool HttpParser::isHeaderComplete() const {
  return this->CurrentReader != nullptr &&
         this->CurrentReader->isHeaderComplete() &&
         this->ParseError == HttpParseError::None;
}

bool HttpParser::isComplete() const {
  return this->CurrentReader != nullptr && this->CurrentReader->isComplete() &&
         this->ParseError == HttpParseError::None;
}

bool HttpParser::hasStarted() const {
  return this->CurrentReader != nullptr || !this->Buffer.empty();
}

const HttpHeaders &HttpParser::headers() const {
  return this->MessageKind == Kind::Request ? this->Request.Headers
                                            : this->Response.Headers;
}

void HttpParser::feed(std::string_view Bytes) {
  this->Buffer.append(Bytes);
  this->parse();
}

void HttpParser::next() {
  this->CurrentReader.reset();
  this->SearchOffset = 0;
  // An assignment would keep the memory of a body that was not taken out.
  releaseMemory(this->Request.Body);
  releaseMemory(this->Response.Body);
  this->Request = HttpRequest();
  this->Response = HttpResponse();
  this->parse();
}

void HttpParser::reset() {
  this->Buffer.clear();
  this->ParseError = HttpParseError::None;
  this->next();
}

bool HttpParser::findHeaderEnd() {
  // Empty lines before a request are ignored (RFC 7230, 3.5).
  while (this->MessageKind == Kind::Request &&
         this->Buffer.rfind("\r\n", 0) == 0)
    this->Buffer.erase(0, 2);
  const size_t End = this->Buffer.find(HeaderTerminator, this->SearchOffset);
  const size_t Length = End == std::string::npos
                            ? this->Buffer.size()
                            : End + HeaderTerminator.size();
  if (Length > this->Limits.MaxHeaderBytes) {
    this->ParseError = HttpParseError::HeaderTooLarge;
    return false;
  }
  if (End == std::string::npos) {
    // The last bytes may be the start of a terminator.
    const size_t Overlap = HeaderTerminator.size() - 1;
    this->SearchOffset = Length > Overlap ? Length - Overlap : 0;
    return false;
  }
  if (isFolded(std::string_view(this->Buffer).substr(0, End)))
    this->ParseError = HttpParseError::Ambiguous;
  return this->ParseError == HttpParseError::None;
}

void HttpParser::createReader() {
  if (this->MessageKind == Kind::Request)
    this->CurrentReader = std::make_unique<BeastReader<true>>(*this);
  else
    this->CurrentReader = std::make_unique<BeastReader<false>>(*this);
}

HttpParseError HttpParser::checkHeader() const {
  const HttpHeaders &Headers = this->headers();
  const size_t LengthCount = countHeader(Headers, "content-length");
  const size_t EncodingCount = countHeader(Headers, "transfer-encoding");
  if (LengthCount > 1 || EncodingCount > 1 ||
      (LengthCount > 0 && EncodingCount > 0))
    return HttpParseError::Ambiguous;
  if (EncodingCount > 0 &&
      !sameHeaderName(headerValue(Headers, "transfer-encoding"), "chunked"))
    return HttpParseError::UnsupportedEncoding;
  if (EncodingCount > 0 && this->IsHttp10)
    return HttpParseError::Ambiguous;
  if (this->MessageKind == Kind::Response)
    return isValidStatus(this->Response.Status) ? HttpParseError::None
                                                : HttpParseError::InvalidStatus;
  const size_t HostCount = countHeader(Headers, "host");
  if (HostCount > 1)
    return HttpParseError::Ambiguous;
  if (HostCount == 0 && !this->IsHttp10)
    return HttpParseError::BadSyntax;
  return HttpParseError::None;
}

void HttpParser::parse() {
  if (this->ParseError != HttpParseError::None || this->isComplete())
    return;
  if (this->CurrentReader == nullptr) {
    if (!this->findHeaderEnd())
      return;
    this->createReader();
  }
  const bool HeaderWasComplete = this->CurrentReader->isHeaderComplete();
  ErrorCode Code;
  const size_t Consumed = this->CurrentReader->put(this->Buffer, Code);
  this->Buffer.erase(0, Consumed);
  const bool HeaderIsComplete = this->CurrentReader->isHeaderComplete();
  if (!HeaderWasComplete && HeaderIsComplete) {
    this->KeepAlive = this->CurrentReader->shouldKeepAlive();
    this->ParseError = this->checkHeader();
  }
  if (this->ParseError != HttpParseError::None)
    return;
  if (Code && Code != http::error::need_more) {
    this->ParseError = toParseError(Code);
    return;
  }
  // The buffer holds all of the header, although Beast may wait for more.
  if (!HeaderIsComplete) {
    this->ParseError = HttpParseError::BadSyntax;
    return;
  }
  // Beast waits for the end of a chunk's size and of the trailers.
  if (!this->isComplete() && this->Buffer.size() > this->Limits.MaxHeaderBytes)
    this->ParseError = HttpParseError::HeaderTooLarge;
}

void HttpParser::finish() {
  if (this->ParseError != HttpParseError::None || this->isComplete())
    return;
  ErrorCode Code;
  if (this->CurrentReader != nullptr)
    this->CurrentReader->finish(Code);
  if (Code || (this->CurrentReader == nullptr && !this->Buffer.empty()))
    this->ParseError = HttpParseError::Truncated;
}

} // namespace bluebellbarrow
