#include "endpoint.h"

#include <arpa/inet.h>
#include <charconv>

namespace bluebellbarrow {

namespace {

constexpr int MaxPort = 65535;

} // namespace

bool isIpv4Address(const std::string &Text) {
  in_addr Parsed{};
  return inet_pton(AF_INET, Text.c_str(), &Parsed) == 1;
}

Result<Endpoint> parseEndpoint(const std::string &Text, int DefaultPort) {
  const size_t Colon = Text.find(':');
  Endpoint Parsed{.Ip = Address(Text.substr(0, Colon)), .Port = DefaultPort};
  if (!isIpv4Address(Parsed.Ip.str()))
    return makeError(Errc::BadValue, "", "",
                     "'" + Parsed.Ip.str() + "' is not an IPv4 number");
  if (Colon == std::string::npos)
    return Parsed;
  const char *End = Text.data() + Text.size();
  const auto Conversion =
      std::from_chars(Text.data() + Colon + 1, End, Parsed.Port);
  const bool Complete = Conversion.ec == std::errc() && Conversion.ptr == End;
  if (!Complete || Parsed.Port < 1 || Parsed.Port > MaxPort)
    return makeError(Errc::BadValue, "", "",
                     "'" + Text + "' has no valid port");
  return Parsed;
}

} // namespace bluebellbarrow
