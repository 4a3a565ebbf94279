#include "socketaddress.h"

#include <arpa/inet.h>
#include <array>

namespace bluebellbarrow {

bool toSocketAddress(const Endpoint &From, sockaddr_in &Out) {
  Out = {};
  Out.sin_family = AF_INET;
  Out.sin_port = htons(static_cast<uint16_t>(From.Port));
  return inet_pton(AF_INET, From.Ip.str().c_str(), &Out.sin_addr) == 1;
}

Endpoint fromSocketAddress(const sockaddr_in &From) {
  std::array<char, INET_ADDRSTRLEN> Name{};
  inet_ntop(AF_INET, &From.sin_addr, Name.data(), Name.size());
  return {.Ip = Address(Name.data()), .Port = ntohs(From.sin_port)};
}

} // namespace bluebellbarrow
