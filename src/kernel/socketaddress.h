#ifndef BLUEBELLBARROW_KERNEL_SOCKETADDRESS_H
#define BLUEBELLBARROW_KERNEL_SOCKETADDRESS_H

#include "endpoint.h"

#include <netinet/in.h>

namespace bluebellbarrow {

/** Returns false for an address that is not an IPv4 number. */
bool toSocketAddress(const Endpoint &From, sockaddr_in &Out);

/** Returns the endpoint of a socket address. Thread safety: safe. */
Endpoint fromSocketAddress(const sockaddr_in &From);

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_SOCKETADDRESS_H
