#ifndef BLUEBELLBARROW_SPREAD_ROLLBACKGUARD_H
#define BLUEBELLBARROW_SPREAD_ROLLBACKGUARD_H

#include "kernel/clock.h"
#include "tree/storeposition.h"
#include "tree/vmlist.h"

#include <map>
#include <set>
#include <vector>

namespace bluebellbarrow {

/**
 * Corrects VM lists that are read after the platform's store was restored from
 * an older copy. Such a list may lack evacuations and may name targets that
 * have left since the copy was made. For a grace period, in which the operators
 * and the targets write again what was lost:
 *
 * - evacuations that were in effect stay in effect;
 * - a target that an earlier era no longer listed counts as leaving, until its
 *   entry has outlived the lease that it would have lost otherwise.
 *
 * A target that was leaving in an earlier era never comes back without a new
 * start. Each node corrects its lists by what it has seen itself.
 *
 * Thread safety: none; owned by one task.
 */
class RollbackGuard {
public:
  /**
   * Corrects \a List, which was read at \a Position. \a Grace is the length of
   * the grace period.
   *
   * \pre \a Now is not before the \a Now of the call before.
   */
  void apply(ListContent &List, const StorePosition &Position, Duration Grace,
             TimePoint Now);

  /**
   * Returns true, once, when a grace period has ended that changed the current
   * list; apply() is to be called again with it.
   */
  bool expire(TimePoint Now);

  /** Returns the evacuated domains that the current list lacks. */
  size_t keptEvacuations() const { return this->KeptEvacuations.size(); }

  /** Returns the number of VMs that count as leaving by this object alone. */
  size_t distrustedVms() const { return this->DistrustedCount; }

private:
  /** A target that has left, or is about to leave. */
  struct Departure {
    int64_t TargetStartUnixMillis = 0;
    uint64_t Era = 0;
    TimePoint SeenAt;

    /** It was listed as leaving, and not only dropped. */
    bool Announced = false;
  };

  /** Records the targets that the last list had and \a List lacks. */
  void recordDropped(const ListContent &List, TimePoint Now);

  /** Records the targets that are listed as leaving. */
  void recordLeaving(const ListContent &List, uint64_t Era, TimePoint Now);

  bool mustLeave(const Vm &Listed, uint64_t Era, TimePoint Now) const;
  void keepEvacuations(ListContent &List, bool IsRestored);

  StorePosition Last;

  /** The targets of the last list and their start times. */
  std::map<UpstreamId, int64_t> LastListed;

  std::map<UpstreamId, Departure> Departures;

  /** Evacuated domains in effect after the last apply(). */
  std::set<FailureDomain> Evacuated;

  std::set<FailureDomain> KeptEvacuations;
  size_t DistrustedCount = 0;
  TimePoint GraceEnd;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_SPREAD_ROLLBACKGUARD_H
