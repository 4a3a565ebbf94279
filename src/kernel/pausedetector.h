#ifndef BLUEBELLBARROW_KERNEL_PAUSEDETECTOR_H
#define BLUEBELLBARROW_KERNEL_PAUSEDETECTOR_H

#include "clock.h"

#include <optional>

namespace bluebellbarrow {

/**
 * Detects from the time between two ticks that the process was paused.
 *
 * Thread safety: none; owned by one task.
 */
class PauseDetector {
public:
  /** \a MinPause is the shortest time between two ticks that is a pause. */
  explicit PauseDetector(Duration MinPause) : MinPause(MinPause) {}

  /** Returns the length of a pause that ended at \a Now, or nothing. */
  std::optional<Duration> onTick(TimePoint Now) {
    const Duration Elapsed =
        this->LastTick ? Now - *this->LastTick : Duration::zero();
    this->LastTick = Now;
    if (Elapsed < this->MinPause)
      return std::nullopt;
    return Elapsed;
  }

private:
  Duration MinPause;
  std::optional<TimePoint> LastTick;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_PAUSEDETECTOR_H
