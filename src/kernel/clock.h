#ifndef BLUEBELLBARROW_KERNEL_CLOCK_H
#define BLUEBELLBARROW_KERNEL_CLOCK_H

#include <chrono>

namespace bluebellbarrow {

/** Monotonic time; decisions receive it as an argument and never read it. */
using TimePoint = std::chrono::steady_clock::time_point;

/** A span of monotonic time. */
using Duration = std::chrono::steady_clock::duration;

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
