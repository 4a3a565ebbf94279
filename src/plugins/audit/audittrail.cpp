#include "audittrail.h"

#include <nlohmann/json.hpp>

namespace bluebellbarrow {

namespace {

bool isSameEvent(const AuditEvent &Left, const AuditEvent &Right) {
  return Left.Kind == Right.Kind && Left.Resource == Right.Resource &&
         Left.Version == Right.Version && Left.Source == Right.Source &&
         Left.Detail == Right.Detail;
}

int64_t toUnixMilliseconds(AuditTrail::WallTime Time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             Time.time_since_epoch())
      .count();
}

} // namespace

void AuditTrail::add(const AuditEvent &Event, WallTime Time) {
  if (!this->Entries.empty() &&
      isSameEvent(this->Entries.back().Event, Event)) {
    this->Entries.back().Count += 1;
    this->Entries.back().LastAt = Time;
    return;
  }
  this->Entries.push_back({.Event = Event, .FirstAt = Time, .LastAt = Time});
  if (this->Entries.size() > this->MaxEntries)
    this->Entries.pop_front();
}

std::string AuditTrail::toJson() const {
  nlohmann::json Trail = nlohmann::json::array();
  for (const Entry &Recorded : this->Entries)
    Trail.push_back({{"time_ms", toUnixMilliseconds(Recorded.FirstAt)},
                     {"last_ms", toUnixMilliseconds(Recorded.LastAt)},
                     {"count", Recorded.Count},
                     {"event", auditKindName(Recorded.Event.Kind)},
                     {"kind", resourceKindName(Recorded.Event.Resource)},
                     {"version", Recorded.Event.Version.text()},
                     {"from", Recorded.Event.Source},
                     {"detail", Recorded.Event.Detail}});
  return Trail.dump();
}

} // namespace bluebellbarrow
