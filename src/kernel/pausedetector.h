#ifndef BLUEBELLBARROW_KERNEL_PAUSEDETECTOR_H
#define BLUEBELLBARROW_KERNEL_PAUSEDETECTOR_H

#include "clock.h"

#include <optional>

namespace bluebellbarrow {

/**
 * Notices from the time between two ticks that the process did not run.
 *
 * Thread safety: none; owned by one task.
 */
class PauseDetector {
public:
  /** \a Limit is the shortest time between two ticks that is a pause. */
  explicit PauseDetector(Duration Limit) : MinPause(Limit) {}

  /** Returns the length of the pause that ended at \a Now, if there was one. */
  std::optional<Duration> onTick(TimePoint Now) {
    const Duration Since =
        this->LastTick ? Now - *this->LastTick : Duration::zero();
    this->LastTick = Now;
    if (Since < this->MinPause)
      return std::nullopt;
    return Since;
  }

private:
  Duration MinPause;
  std::optional<TimePoint> LastTick;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_PAUSEDETECTOR_H
