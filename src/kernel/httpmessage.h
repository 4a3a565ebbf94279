#ifndef BLUEBELLBARROW_KERNEL_HTTPMESSAGE_H
#define BLUEBELLBARROW_KERNEL_HTTPMESSAGE_H

#include <string>
#include <string_view>
#include <vector>

namespace bluebellbarrow {

/** One header; the name is in lower case and has no colon. */
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

  /** Path with query, percent-encoded. */
  std::string Target;

  HttpHeaders Headers;
  std::string Body;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Method, this->Target, this->Headers, this->Body);
  }
};

/** An answer, whole. */
struct HttpResponse {
  int Status = 0;
  HttpHeaders Headers;
  std::string Body;

  /** Asks the server to close the connection after this answer. */
  bool Close = false;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Status, this->Headers, this->Body);
  }
};

/** Returns the value of header \a Name, or an empty string. */
inline std::string_view headerValue(const HttpHeaders &Headers,
                                    std::string_view Name) {
  for (const HttpHeader &Each : Headers)
    if (Each.Name == Name)
      return Each.Value;
  return {};
}

/** Returns the path of a request target, without the query. */
inline std::string pathOf(const std::string &Target) {
  return Target.substr(0, Target.find('?'));
}

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_HTTPMESSAGE_H
