#ifndef BLUEBELLBARROW_HTTP_RETRYAFTERJITTER_H
#define BLUEBELLBARROW_HTTP_RETRYAFTERJITTER_H

#include "kernel/clock.h"
#include "kernel/httpmessage.h"

#include <cstdint>
#include <random>

namespace bluebellbarrow {

/**
 * Sets Retry-After on refusals, with jitter so that callers do not retry all at
 * once.
 *
 * Thread safety: none; owned by one task.
 */
class RetryAfterJitter {
public:
  explicit RetryAfterJitter(uint64_t Seed) : Random(Seed) {}

  /** Adds Retry-After, in seconds: \a Delay plus up to half of it. */
  void addHeader(HttpResponse &Response, Duration Delay);

private:
  std::mt19937_64 Random;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_HTTP_RETRYAFTERJITTER_H
