#include "rollbackguard.h"

#include <algorithm>

namespace bluebellbarrow {

namespace {

/** Time for which a departure is remembered. */
constexpr Duration DepartureMemory = seconds(120);

} // namespace

void RollbackGuard::apply(ListContent &List, const StorePosition &Position,
                          Duration Grace, TimePoint Now) {
  const bool IsRestored =
      !this->LastListed.empty() && Position.Era > this->Last.Era;
  if (IsRestored)
    this->GraceEnd = Now + Grace;
  this->recordDropped(List, Now);
  this->recordLeaving(List, Position.Era, Now);
  this->DistrustedCount = 0;
  for (Vm &Listed : List.Vms) {
    if (Listed.Leaving || !this->mustLeave(Listed, Position.Era, Now))
      continue;
    this->Departures.at(Listed.id()).SeenAt = Now;
    Listed.Leaving = true;
    this->DistrustedCount += 1;
  }
  this->keepEvacuations(List, IsRestored);
  this->Last = Position;
}

void RollbackGuard::recordDropped(const ListContent &List, TimePoint Now) {
  std::map<UpstreamId, int64_t> Listed;
  for (const Vm &Entry : List.Vms)
    Listed.emplace(Entry.id(), Entry.TargetStartUnixMillis);
  for (const auto &[Id, Start] : this->LastListed) {
    const auto Known = this->Departures.find(Id);
    const bool IsRecorded = Known != this->Departures.end() &&
                            Known->second.TargetStartUnixMillis == Start;
    if (!IsRecorded && !Listed.contains(Id))
      this->Departures[Id] = {
          .TargetStartUnixMillis = Start, .Era = this->Last.Era, .SeenAt = Now};
  }
  this->LastListed = std::move(Listed);
  std::erase_if(this->Departures, [Now](const auto &Known) {
    return Now - Known.second.SeenAt > DepartureMemory;
  });
}

void RollbackGuard::recordLeaving(const ListContent &List, uint64_t Era,
                                  TimePoint Now) {
  for (const Vm &Entry : List.Vms) {
    if (Entry.Leaving) {
      this->Departures[Entry.id()] = {.TargetStartUnixMillis =
                                          Entry.TargetStartUnixMillis,
                                      .Era = Era,
                                      .SeenAt = Now,
                                      .Announced = true};
      continue;
    }
    // An entry that returns within an era belongs to a live target whose lease
    // had expired.
    const auto Known = this->Departures.find(Entry.id());
    if (Known != this->Departures.end() && Known->second.Era == Era &&
        !Known->second.Announced)
      this->Departures.erase(Known);
  }
}

bool RollbackGuard::mustLeave(const Vm &Listed, uint64_t Era,
                              TimePoint Now) const {
  const auto Found = this->Departures.find(Listed.id());
  if (Found == this->Departures.end())
    return false;
  const Departure &Known = Found->second;
  if (Known.TargetStartUnixMillis != Listed.TargetStartUnixMillis ||
      Known.Era >= Era)
    return false;
  return Known.Announced || Now < this->GraceEnd;
}

void RollbackGuard::keepEvacuations(ListContent &List, bool IsRestored) {
  std::set<FailureDomain> Listed(List.EvacuatedDomains.begin(),
                                 List.EvacuatedDomains.end());
  if (IsRestored)
    this->KeptEvacuations = this->Evacuated;
  // An evacuation that is listed again ends when the list no longer has it.
  std::erase_if(this->KeptEvacuations, [&Listed](const FailureDomain &Kept) {
    return Listed.contains(Kept);
  });
  Listed.insert(this->KeptEvacuations.begin(), this->KeptEvacuations.end());
  List.EvacuatedDomains.assign(Listed.begin(), Listed.end());
  this->Evacuated = std::move(Listed);
}

bool RollbackGuard::expire(TimePoint Now) {
  if (Now < this->GraceEnd ||
      (this->KeptEvacuations.empty() && this->DistrustedCount == 0))
    return false;
  this->KeptEvacuations.clear();
  this->DistrustedCount = 0;
  // A target whose entry has outlived its lease is alive.
  std::erase_if(this->Departures,
                [](const auto &Known) { return !Known.second.Announced; });
  return true;
}

} // namespace bluebellbarrow
