#ifndef BLUEBELLBARROW_KERNEL_HTTPHEADERS_H
#define BLUEBELLBARROW_KERNEL_HTTPHEADERS_H

#include "httpmessage.h"

#include <span>
#include <string>
#include <string_view>

struct lws;

namespace bluebellbarrow {

/** Names of the headers that the product itself reads and writes. */
namespace header {
inline constexpr const char *DeadlineMs = "bluebellbarrow-deadline-ms";
inline constexpr const char *Depth = "bluebellbarrow-depth";
inline constexpr const char *Outcome = "bluebellbarrow-outcome";
inline constexpr const char *Reason = "bluebellbarrow-reason";
inline constexpr const char *NoRetry = "bluebellbarrow-no-retry";
inline constexpr const char *Request = "bluebellbarrow-request";
inline constexpr const char *Route = "bluebellbarrow-route";
inline constexpr const char *IdempotencyKey = "idempotency-key";
inline constexpr const char *TargetState = "bluebellbarrow-target-state";
} // namespace header

/**
 * Collects the end-to-end headers that the library has parsed, and of the
 * headers unknown to it those in \a CustomNames.
 *
 * \pre called while the library still holds the headers of \a Wsi.
 */
HttpHeaders collectHeaders(lws *Wsi, std::span<const std::string> CustomNames);

/** Returns the header names above. Thread safety: safe. */
std::span<const std::string> productHeaders();

/** Percent-encodes what may not stand in a path or query as it is. */
std::string percentEncode(std::string_view Text, std::string_view Allowed);

/** Returns the request target of \a Wsi, percent-encoded again. */
std::string requestTarget(lws *Wsi, std::string_view DecodedPath);

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_HTTPHEADERS_H
