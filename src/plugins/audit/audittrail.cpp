#include "audittrail.h"

#include <nlohmann/json.hpp>

namespace bluebellbarrow {

namespace {

bool sameEvent(const AuditEvent &A, const AuditEvent &B) {
  return A.Kind == B.Kind && A.Item == B.Item && A.Version == B.Version &&
         A.Source == B.Source && A.Detail == B.Detail;
}

int64_t unixMilliseconds(AuditTrail::WallTime Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             Time.time_since_epoch())
      .count();
}

} // namespace

void AuditTrail::add(const AuditEvent &Event, WallTime When) {
  if (!this->Entries.empty() && sameEvent(this->Entries.back().Event, Event)) {
    this->Entries.back().Count += 1;
    this->Entries.back().LastAt = When;
    return;
  }
  this->Entries.push_back({.Event = Event, .FirstAt = When, .LastAt = When});
  if (this->Entries.size() > this->MaxEntries)
    this->Entries.pop_front();
}

std::string AuditTrail::toJson() const {
  nlohmann::json Trail = nlohmann::json::array();
  for (const Entry &Each : this->Entries)
    Trail.push_back({{"time_ms", unixMilliseconds(Each.FirstAt)},
                     {"last_ms", unixMilliseconds(Each.LastAt)},
                     {"count", Each.Count},
                     {"event", auditKindName(Each.Event.Kind)},
                     {"kind", resourceKindName(Each.Event.Item)},
                     {"version", Each.Event.Version.text()},
                     {"from", Each.Event.Source},
                     {"detail", Each.Event.Detail}});
  return Trail.dump();
}

} // namespace bluebellbarrow
