#ifndef BLUEBELLBARROW_KERNEL_HTTPHEADERS_H
#define BLUEBELLBARROW_KERNEL_HTTPHEADERS_H

namespace bluebellbarrow::header {

/** Names of the headers that the node itself reads or writes. */
inline constexpr const char *DeadlineMs = "bluebellbarrow-deadline-ms";
inline constexpr const char *CallDepth = "bluebellbarrow-depth";
inline constexpr const char *Outcome = "bluebellbarrow-outcome";
inline constexpr const char *Reason = "bluebellbarrow-reason";
inline constexpr const char *NoRetry = "bluebellbarrow-no-retry";
inline constexpr const char *RequestId = "bluebellbarrow-request";
inline constexpr const char *Route = "bluebellbarrow-route";
inline constexpr const char *IdempotencyKey = "idempotency-key";
inline constexpr const char *TargetState = "bluebellbarrow-target-state";
inline constexpr const char *WarmUp = "bluebellbarrow-warm-up";
inline constexpr const char *RetryAfter = "Retry-After";

} // namespace bluebellbarrow::header

#endif // BLUEBELLBARROW_KERNEL_HTTPHEADERS_H
