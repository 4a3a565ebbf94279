#ifndef BLUEBELLBARROW_ADMISSION_ADMITTEDLOAD_H
#define BLUEBELLBARROW_ADMISSION_ADMITTEDLOAD_H

#include "decayingsum.h"

#include <cstdint>
#include <map>

namespace bluebellbarrow {

/**
 * The recently admitted load of a target by priority. It estimates the load
 * that will overtake a queued request.
 *
 * Thread safety: none; owned by one task.
 */
class AdmittedLoad {
public:
  /** Adds an admitted request. */
  void add(int64_t Priority, Duration ServiceTime, TimePoint Now);

  /**
   * Returns the load of priorities more urgent than \a Priority, in seconds of
   * service time per second. \a IncludeSame adds that of \a Priority itself.
   */
  double loadAhead(int64_t Priority, bool IncludeSame, TimePoint Now) const;

private:
  /** Service time of the admitted requests, in seconds. */
  std::map<int64_t, DecayingSum> LoadByPriority;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_ADMISSION_ADMITTEDLOAD_H
