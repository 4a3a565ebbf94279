#ifndef BLUEBELLBARROW_AUDIT_AUDITTRAIL_H
#define BLUEBELLBARROW_AUDIT_AUDITTRAIL_H

#include "auditevent.h"

#include <chrono>
#include <deque>
#include <string>

namespace bluebellbarrow {

/**
 * The most recent audit events of this node, kept in memory.
 *
 * Thread safety: none; owned by one task.
 */
class AuditTrail {
public:
  using WallTime = std::chrono::system_clock::time_point;

  /** Keeps at most \a MaxEntries entries and drops the oldest ones. */
  explicit AuditTrail(size_t MaxEntries) : MaxEntries(MaxEntries) {}

  /**
   * Records \a Event. An event equal to the last one only raises the count of
   * that entry and sets its last time.
   */
  void add(const AuditEvent &Event, WallTime Time);

  /** Returns the trail as a JSON array, the oldest entry first. */
  std::string toJson() const;

  size_t size() const { return this->Entries.size(); }

private:
  struct Entry {
    AuditEvent Event;
    WallTime FirstAt;
    WallTime LastAt;
    uint64_t Count = 1;
  };

  size_t MaxEntries;
  std::deque<Entry> Entries;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_AUDIT_AUDITTRAIL_H
