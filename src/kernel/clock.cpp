#include "clock.h"

#include <ctime>

namespace bluebellbarrow {

Clock::time_point Clock::now() noexcept {
  timespec Time{};
  clock_gettime(CLOCK_BOOTTIME, &Time);
  return time_point(std::chrono::seconds(Time.tv_sec) +
                    std::chrono::nanoseconds(Time.tv_nsec));
}

} // namespace bluebellbarrow
