#ifndef BLUEBELLBARROW_KERNEL_ENDPOINT_H
#define BLUEBELLBARROW_KERNEL_ENDPOINT_H

#include "error.h"
#include "ids.h"

#include <compare>
#include <string>

namespace bluebellbarrow {

/** An IPv4 address with a port. */
struct Endpoint {
  Address Ip;
  int Port = 0;

  auto operator<=>(const Endpoint &) const = default; // NOLINT

  /** Returns "IP:PORT". */
  std::string str() const {
    return this->Ip.str() + ":" + std::to_string(this->Port);
  }

  template <typename Archive> void serialize(Archive &Ar) {
    auto WirePort = static_cast<uint16_t>(this->Port);
    Ar(this->Ip, WirePort);
    this->Port = WirePort;
  }
};

/** Returns whether \a Text is an IPv4 address. Thread safety: safe. */
bool isIpv4Address(const std::string &Text);

/**
 * Parses "IP:PORT", or "IP" with \a DefaultPort. Errors: BadValue.
 * Thread safety: safe.
 */
Result<Endpoint> parseEndpoint(const std::string &Text, int DefaultPort);

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_ENDPOINT_H
