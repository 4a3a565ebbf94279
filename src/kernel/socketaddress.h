#ifndef BLUEBELLBARROW_KERNEL_SOCKETADDRESS_H
#define BLUEBELLBARROW_KERNEL_SOCKETADDRESS_H

#include "endpoint.h"

#include <netinet/in.h>

namespace bluebellbarrow {

/**
 * Converts \a Source. Returns false when its address is not an IPv4 address.
 */
bool toSocketAddress(const Endpoint &Source, sockaddr_in &Out);

/** Returns the endpoint of \a Source. Thread safety: safe. */
Endpoint fromSocketAddress(const sockaddr_in &Source);

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_SOCKETADDRESS_H
