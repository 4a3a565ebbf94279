#ifndef BLUEBELLBARROW_SPREAD_VMRETENTION_H
#define BLUEBELLBARROW_SPREAD_VMRETENTION_H

#include "kernel/clock.h"
#include "tree/vmlist.h"

#include <vector>

namespace bluebellbarrow {

/**
 * Keeps VMs in use whose leases expired while the platform was down, until
 * they had time to be listed again. Right after an outage a list may name none
 * of the VMs that served throughout it.
 *
 * Thread safety: none; owned by one task.
 */
class VmRetention {
public:
  /**
   * Applies a new list. VMs in use that it lacks are retained until
   * \a RetainUntil, unless their address and target port are listed. None are
   * retained when \a RetainUntil is not after \a Now.
   */
  void applyList(std::vector<Vm> NewList, TimePoint RetainUntil, TimePoint Now);

  /** Removes retained VMs once their time is over. Returns true if any was. */
  bool expireRetained(TimePoint Now);

  /** Returns the VMs in use: those listed and those retained. */
  std::vector<Vm> inUse() const;

  /** Returns the number of VMs in use that are not listed. */
  size_t retainedCount() const { return this->Retained.size(); }

private:
  std::vector<Vm> Listed;
  std::vector<Vm> Retained;
  TimePoint RetainedUntil;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_SPREAD_VMRETENTION_H
