#include "socketaddress.h"

#include <arpa/inet.h>
#include <array>

namespace bluebellbarrow {

bool toSocketAddress(const Endpoint &Source, sockaddr_in &Out) {
  Out = {};
  Out.sin_family = AF_INET;
  Out.sin_port = htons(static_cast<uint16_t>(Source.Port));
  return inet_pton(AF_INET, Source.Ip.str().c_str(), &Out.sin_addr) == 1;
}

Endpoint fromSocketAddress(const sockaddr_in &Source) {
  std::array<char, INET_ADDRSTRLEN> Name{};
  inet_ntop(AF_INET, &Source.sin_addr, Name.data(), Name.size());
  return {.Ip = Address(Name.data()), .Port = ntohs(Source.sin_port)};
}

} // namespace bluebellbarrow
