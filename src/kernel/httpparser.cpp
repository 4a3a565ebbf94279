#include "httpparser.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>

#include <algorithm>

namespace bluebellbarrow {

namespace http = boost::beast::http; // NOLINT: customary alias

namespace {

using ErrorCode = boost::beast::error_code;
using BeastView = boost::beast::string_view;

constexpr std::string_view HeadEnd = "\r\n\r\n";

/** Faults of Beast that are about limits; all others are bad syntax. */
HttpFault toFault(const ErrorCode &Code) {
  if (Code == http::error::header_limit)
    return HttpFault::HeaderTooLarge;
  if (Code == http::error::body_limit || Code == http::error::buffer_overflow)
    return HttpFault::BodyTooLarge;
  if (Code == http::error::partial_message ||
      Code == http::error::end_of_stream)
    return HttpFault::Cut;
  return HttpFault::BadSyntax;
}

size_t countHeader(const HttpHeaders &Headers, std::string_view Name) {
  return static_cast<size_t>(std::count_if(
      Headers.begin(), Headers.end(), [Name](const HttpHeader &Each) {
        return sameHeaderName(Each.Name, Name);
      }));
}

/** Returns true when a line goes on in the next one (RFC 7230, 3.2.4). */
bool isFolded(std::string_view Head) {
  return Head.find("\n ") != std::string_view::npos ||
         Head.find("\n\t") != std::string_view::npos;
}

} // namespace

/** The reader of one message, for either kind. */
class HttpParser::Reader {
public:
  virtual ~Reader() = default;

  virtual size_t put(std::string_view Bytes, ErrorCode &Code) = 0;
  virtual void finish(ErrorCode &Code) = 0;
  virtual bool headRead() const = 0;
  virtual bool whole() const = 0;
  virtual bool keepsAlive() const = 0;
};

/** Collects what Beast reads into the messages of an HttpParser. */
template <bool IsRequest>
class HttpParser::BeastReader : public HttpParser::Reader,
                                private http::basic_parser<IsRequest> {
  using Base = http::basic_parser<IsRequest>;

public:
  explicit BeastReader(HttpParser &Owner) : Owner(Owner) {
    this->header_limit(static_cast<uint32_t>(Owner.Limits.MaxHeaderBytes));
    this->body_limit(Owner.Limits.MaxBodyBytes);
    this->eager(true);
    this->skip(Owner.Bodyless);
  }

  size_t put(std::string_view Bytes, ErrorCode &Code) override {
    return Base::put(boost::asio::const_buffer(Bytes.data(), Bytes.size()),
                     Code);
  }

  void finish(ErrorCode &Code) override { Base::put_eof(Code); }

  bool headRead() const override { return this->is_header_done(); }

  bool whole() const override { return this->is_done(); }

  bool keepsAlive() const override { return this->keep_alive(); }

private:
  HttpHeaders &headers() {
    return IsRequest ? this->Owner.Request.Headers
                     : this->Owner.Response.Headers;
  }

  std::string &body() {
    return IsRequest ? this->Owner.Request.Body : this->Owner.Response.Body;
  }

  size_t append(BeastView Bytes) {
    this->body().append(Bytes.data(), Bytes.size());
    return Bytes.size();
  }

  void on_request_impl(http::verb, BeastView Method, BeastView Target,
                       int Version, ErrorCode &) override {
    this->Owner.Request.Method.assign(Method.data(), Method.size());
    this->Owner.Request.Target.assign(Target.data(), Target.size());
    this->Owner.Old = Version < 11;
  }

  void on_response_impl(int Status, BeastView, int Version,
                        ErrorCode &) override {
    this->Owner.Response.Status = Status;
    this->Owner.Old = Version < 11;
  }

  void on_field_impl(http::field, BeastView Name, BeastView Value,
                     ErrorCode &) override {
    if (this->headRead())
      return; // a trailer
    this->headers().push_back({std::string(Name.data(), Name.size()),
                               std::string(Value.data(), Value.size())});
  }

  void on_header_impl(ErrorCode &) override {}

  void on_body_init_impl(const boost::optional<uint64_t> &,
                         ErrorCode &) override {}

  size_t on_body_impl(BeastView Bytes, ErrorCode &) override {
    return this->append(Bytes);
  }

  void on_chunk_header_impl(uint64_t, BeastView, ErrorCode &) override {}

  size_t on_chunk_body_impl(uint64_t, BeastView Bytes, ErrorCode &) override {
    return this->append(Bytes);
  }

  void on_finish_impl(ErrorCode &) override {}

  HttpParser &Owner;
};

int faultStatus(HttpFault Fault) {
  switch (Fault) {
  case HttpFault::HeaderTooLarge:
    return 431;
  case HttpFault::BodyTooLarge:
    return 413;
  case HttpFault::UnknownEncoding:
    return 501;
  default:
    return 400;
  }
}

const char *faultText(HttpFault Fault) {
  switch (Fault) {
  case HttpFault::None:
    return "none";
  case HttpFault::BadSyntax:
    return "bad syntax";
  case HttpFault::Ambiguous:
    return "ambiguous message";
  case HttpFault::HeaderTooLarge:
    return "header is too large";
  case HttpFault::BodyTooLarge:
    return "body is too large";
  case HttpFault::UnknownEncoding:
    return "unknown transfer encoding";
  case HttpFault::Cut:
    return "message was cut";
  }
  return "unknown";
}

HttpParser::HttpParser(Kind What, HttpLimits Limits)
    : What(What), Limits(Limits) {}

HttpParser::~HttpParser() = default;

bool HttpParser::headRead() const {
  return this->Current != nullptr && this->Current->headRead() &&
         this->Fault == HttpFault::None;
}

bool HttpParser::whole() const {
  return this->Current != nullptr && this->Current->whole() &&
         this->Fault == HttpFault::None;
}

bool HttpParser::begun() const {
  return this->Current != nullptr || !this->Buffer.empty();
}

const HttpHeaders &HttpParser::headers() const {
  return this->What == Kind::Request ? this->Request.Headers
                                     : this->Response.Headers;
}

void HttpParser::feed(std::string_view Bytes) {
  this->Buffer.append(Bytes);
  this->parse();
}

void HttpParser::next() {
  this->Current.reset();
  this->Searched = 0;
  this->Request = HttpRequest();
  this->Response = HttpResponse();
  this->parse();
}

void HttpParser::reset() {
  this->Buffer.clear();
  this->Fault = HttpFault::None;
  this->next();
}

bool HttpParser::findHead() {
  // An empty line before a request is no request (RFC 7230, 3.5).
  while (this->What == Kind::Request && this->Buffer.rfind("\r\n", 0) == 0)
    this->Buffer.erase(0, 2);
  const size_t End = this->Buffer.find(HeadEnd, this->Searched);
  const size_t Length =
      End == std::string::npos ? this->Buffer.size() : End + HeadEnd.size();
  if (Length > this->Limits.MaxHeaderBytes) {
    this->Fault = HttpFault::HeaderTooLarge;
    return false;
  }
  if (End == std::string::npos) {
    const size_t Tail = HeadEnd.size() - 1;
    this->Searched = Length > Tail ? Length - Tail : 0;
    return false;
  }
  if (isFolded(std::string_view(this->Buffer).substr(0, End)))
    this->Fault = HttpFault::Ambiguous;
  return this->Fault == HttpFault::None;
}

void HttpParser::begin() {
  if (this->What == Kind::Request)
    this->Current = std::make_unique<BeastReader<true>>(*this);
  else
    this->Current = std::make_unique<BeastReader<false>>(*this);
}

HttpFault HttpParser::checkHead() const {
  const HttpHeaders &Headers = this->headers();
  const size_t Lengths = countHeader(Headers, "content-length");
  const size_t Encodings = countHeader(Headers, "transfer-encoding");
  if (Lengths > 1 || Encodings > 1 || (Lengths > 0 && Encodings > 0))
    return HttpFault::Ambiguous;
  if (Encodings > 0 &&
      !sameHeaderName(headerValue(Headers, "transfer-encoding"), "chunked"))
    return HttpFault::UnknownEncoding;
  if (Encodings > 0 && this->Old)
    return HttpFault::Ambiguous;
  if (this->What == Kind::Response)
    return HttpFault::None;
  const size_t Hosts = countHeader(Headers, "host");
  if (Hosts > 1)
    return HttpFault::Ambiguous;
  if (Hosts == 0 && !this->Old)
    return HttpFault::BadSyntax;
  return HttpFault::None;
}

void HttpParser::parse() {
  if (this->Fault != HttpFault::None || this->whole())
    return;
  if (this->Current == nullptr) {
    if (!this->findHead())
      return;
    this->begin();
  }
  const bool HadHead = this->Current->headRead();
  ErrorCode Code;
  const size_t Used = this->Current->put(this->Buffer, Code);
  this->Buffer.erase(0, Used);
  if (Code && Code != http::error::need_more) {
    this->Fault = toFault(Code);
    return;
  }
  if (HadHead || !this->Current->headRead())
    return;
  this->KeepsAlive = this->Current->keepsAlive();
  this->Fault = this->checkHead();
}

void HttpParser::finish() {
  if (this->Fault != HttpFault::None || this->whole())
    return;
  ErrorCode Code;
  if (this->Current != nullptr)
    this->Current->finish(Code);
  if (Code || (this->Current == nullptr && !this->Buffer.empty()))
    this->Fault = HttpFault::Cut;
}

} // namespace bluebellbarrow
