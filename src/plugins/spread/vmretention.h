#ifndef BLUEBELLBARROW_SPREAD_VMRETENTION_H
#define BLUEBELLBARROW_SPREAD_VMRETENTION_H

#include "kernel/clock.h"
#include "tree/vmlist.h"

#include <vector>

namespace bluebellbarrow {

/**
 * Keeps VMs in use whose leases ran out while the platform was away, until
 * they had time to be listed again. Answers the moment after an outage at which
 * a list names none of the VMs that served all the while.
 *
 * Thread safety: none; owned by one task.
 */
class VmRetention {
public:
  /**
   * Takes a new list. VMs of the last one that it lacks stay in use until
   * \a KeepUntil, unless their address is listed again; with \a KeepUntil in
   * the past, none does.
   */
  void applyList(std::vector<Vm> NewList, TimePoint KeepUntil, TimePoint Now);

  /** Drops what was kept for long enough. Returns true if anything was. */
  bool expireRetained(TimePoint Now);

  /** Returns the VMs in use: those listed and those kept. */
  std::vector<Vm> inUse() const;

  /** Returns the number of VMs that are kept though they are not listed. */
  size_t retainedCount() const { return this->Retained.size(); }

private:
  std::vector<Vm> Listed;
  std::vector<Vm> Retained;
  TimePoint RetainedUntil;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_SPREAD_VMRETENTION_H
