#ifndef BLUEBELLBARROW_KERNEL_CLOCK_H
#define BLUEBELLBARROW_KERNEL_CLOCK_H

#include <chrono>
#include <cstdint>

namespace bluebellbarrow {

/**
 * Monotonic time since the machine started, including time in which it was
 * suspended. Thread safety: safe.
 */
struct Clock {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<Clock>;

  // The standard's Clock requirements prescribe the name.
  // NOLINTNEXTLINE(readability-identifier-naming)
  static constexpr bool is_steady = true;

  static time_point now() noexcept;
};

/**
 * A point in time. Decision logic receives it as an argument and never reads
 * the clock.
 */
using TimePoint = Clock::time_point;

using Duration = Clock::duration;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/** Returns \a Span in whole microseconds, rounded towards zero. */
inline int64_t toMicroseconds(Duration Span) {
  return std::chrono::duration_cast<microseconds>(Span).count();
}

/** Returns \a Span in whole milliseconds, rounded towards zero. */
inline int64_t toMilliseconds(Duration Span) {
  return std::chrono::duration_cast<milliseconds>(Span).count();
}

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_CLOCK_H
