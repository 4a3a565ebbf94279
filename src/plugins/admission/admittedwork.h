#ifndef BLUEBELLBARROW_ADMISSION_ADMITTEDWORK_H
#define BLUEBELLBARROW_ADMISSION_ADMITTEDWORK_H

#include "kernel/clock.h"

#include <cstdint>
#include <map>

namespace bluebellbarrow {

/**
 * The work that was let to a target lately, by rank: what a request that
 * waits has to expect to be overtaken by.
 *
 * Thread safety: none; owned by one task.
 */
class AdmittedWork {
public:
  /** Takes in a request of \a Priority that takes \a Work. */
  void add(int64_t Priority, Duration Work, TimePoint Now);

  /**
   * Returns the work that arrives in each unit of time of ranks before
   * \a Priority; with that rank itself for \a AndSame.
   */
  double rateBefore(int64_t Priority, bool AndSame, TimePoint Now) const;

private:
  /** A sum of seconds of work that fades with time. */
  struct Fading {
    double Sum = 0;
    TimePoint Last;
  };

  static double faded(const Fading &Of, TimePoint Now);

  std::map<int64_t, Fading> Ranks;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_ADMISSION_ADMITTEDWORK_H
