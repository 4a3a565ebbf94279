#ifndef BLUEBELLBARROW_ADMISSION_ADMITTEDLOAD_H
#define BLUEBELLBARROW_ADMISSION_ADMITTEDLOAD_H

#include "decayingsum.h"

#include <cstdint>
#include <map>

namespace bluebellbarrow {

/**
 * The work that was let to a target lately, by rank: what a request that
 * waits has to expect to be overtaken by.
 *
 * Thread safety: none; owned by one task.
 */
class AdmittedLoad {
public:
  /** Takes in a request of \a Priority that takes \a Work. */
  void add(int64_t Priority, Duration Work, TimePoint Now);

  /**
   * Returns the work that arrives in each unit of time of ranks before
   * \a Priority; with that rank itself for \a AndSame.
   */
  double loadAhead(int64_t Priority, bool AndSame, TimePoint Now) const;

private:
  /** Seconds of work of each rank. */
  std::map<int64_t, DecayingSum> LoadByPriority;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_ADMISSION_ADMITTEDLOAD_H
