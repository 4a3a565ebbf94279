#ifndef BLUEBELLBARROW_KERNEL_RATELIMITER_H
#define BLUEBELLBARROW_KERNEL_RATELIMITER_H

#include "clock.h"

#include <algorithm>
#include <cstdint>

namespace bluebellbarrow {

/**
 * Limits events per second and counts those that were suppressed.
 *
 * Method: a token bucket that holds the tokens of one second.
 *
 * Thread safety: none.
 */
class RateLimiter {
public:
  /** \pre \a PerSecond is at least 1, else no event is ever allowed. */
  RateLimiter(double PerSecond, TimePoint Now)
      : PerSecond(PerSecond), Tokens(PerSecond), LastRefill(Now) {}

  /** Returns true when an event is allowed, else counts it as suppressed. */
  bool allow(TimePoint Now) {
    const std::chrono::duration<double> Elapsed = Now - this->LastRefill;
    this->LastRefill = Now;
    this->Tokens = std::min(this->PerSecond,
                            this->Tokens + Elapsed.count() * this->PerSecond);
    if (this->Tokens < 1) {
      this->Suppressed += 1;
      return false;
    }
    this->Tokens -= 1;
    return true;
  }

  /** Returns the number of events suppressed since the last call. */
  uint64_t consumeSuppressedCount() {
    const uint64_t Count = this->Suppressed;
    this->Suppressed = 0;
    return Count;
  }

private:
  double PerSecond;
  double Tokens;
  TimePoint LastRefill;
  uint64_t Suppressed = 0;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_RATELIMITER_H
