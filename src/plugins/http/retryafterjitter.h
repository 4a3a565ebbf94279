#ifndef BLUEBELLBARROW_HTTP_RETRYAFTERJITTER_H
#define BLUEBELLBARROW_HTTP_RETRYAFTERJITTER_H

#include "kernel/clock.h"
#include "kernel/httpmessage.h"

#include <cstdint>
#include <random>

namespace bluebellbarrow {

/**
 * Tells refused callers when to come back, spread so that they do not come all
 * at once.
 *
 * Thread safety: none; owned by one task.
 */
class RetryAfterJitter {
public:
  explicit RetryAfterJitter(uint64_t Seed) : Random(Seed) {}

  /** Adds the header for \a Time and up to half of it, in seconds. */
  void addHeader(HttpResponse &Response, Duration Time);

private:
  std::mt19937_64 Random;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_HTTP_RETRYAFTERJITTER_H
