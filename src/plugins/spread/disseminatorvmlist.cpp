/**
 * \file
 * The part of Disseminator that reads and applies the list of VMs.
 */

#include "disseminator.h"

namespace bluebellbarrow {

void Disseminator::onVmList(const std::string &Text, TimePoint Now) {
  const Result<ParsedVmList> Parsed = parsePlatformVmList(Text);
  if (!Parsed) {
    this->audit(AuditKind::Refused, ResourceKind::VmList, VersionId(),
                "platform", Parsed.error().message());
    return;
  }
  this->auditSkippedVms(Parsed.value().Skipped, "platform");
  auto Version = std::make_shared<FullVersion>();
  Version->Content = buildVmListManifest(this->Options.Mesh,
                                         Parsed.value().List, Version->Parts);
  Version->Id = computeVersionId(Version->Content);
  const FullVersionPtr Current = this->store(ResourceKind::VmList).current();
  if (Current != nullptr &&
      Current->Content.Entries == Version->Content.Entries)
    return;
  this->acceptVersion(ResourceKind::VmList, Version,
                      {.Kind = SourceKind::Platform, .Name = "platform"}, Now);
}

void Disseminator::auditSkippedVms(const std::vector<Error> &Skipped,
                                   const std::string &Source) {
  const std::string Detail =
      Skipped.empty() ? std::string()
                      : std::to_string(Skipped.size()) +
                            " VMs skipped, first: " + Skipped.front().message();
  std::string &Previous = this->AuditedSkips[Source];
  if (Detail == Previous)
    return;
  Previous = Detail;
  this->audit(AuditKind::VmsSkipped, ResourceKind::VmList, VersionId(), Source,
              Skipped.empty() ? "no VM is skipped any more" : Detail);
}

void Disseminator::applyVmList(TimePoint Now) {
  const FullVersionPtr List = this->store(ResourceKind::VmList).current();
  ParsedVms Parsed = parseVmParts(List->Content, List->Parts);
  this->auditSkippedVms(Parsed.Skipped, "self");
  const StorePosition Position = StorePosition::fromNumber(List->Id.Number);
  const bool IsRestored =
      this->ListEra.has_value() && Position.Era > *this->ListEra;
  this->ListEra = Position.Era;
  this->Rollbacks.apply(Parsed, Position, this->CurrentPolicy.RollbackGrace,
                        Now);
  this->setEvacuatedDomains(std::move(Parsed.EvacuatedDomains));
  // The list may arrive before the read status of the read that returned it, so
  // the schedule may still show the platform as down.
  const TimePoint RecoveredAt =
      IsRestored || this->Schedule.isPlatformDown(Now)
          ? Now
          : this->Schedule.recoveredAt().value_or(
                Now - this->CurrentPolicy.LeaseGracePeriod);
  this->Retention.applyList(std::move(Parsed.Vms),
                            RecoveredAt + this->CurrentPolicy.LeaseGracePeriod,
                            Now);
  if (this->Retention.retainedCount() > 0)
    this->audit(AuditKind::VmsKept, ResourceKind::VmList,
                this->versionTracker(ResourceKind::VmList).current(), "self",
                std::to_string(this->Retention.retainedCount()) +
                    " not listed since the platform is back");
  this->rebuildTopology();
}

void Disseminator::setEvacuatedDomains(std::vector<FailureDomain> New) {
  if (New == this->EvacuatedDomains)
    return;
  this->EvacuatedDomains = std::move(New);
  std::string Names;
  for (const FailureDomain &Domain : this->EvacuatedDomains)
    Names += (Names.empty() ? "" : ", ") + Domain.str();
  this->audit(AuditKind::EvacuationChanged, ResourceKind::VmList,
              this->versionTracker(ResourceKind::VmList).current(), "self",
              Names.empty() ? "no domain is evacuated any more" : Names);
}

void Disseminator::expireRetainedVms(TimePoint Now) {
  if (this->Rollbacks.expire(Now)) {
    this->applyVmList(Now);
    this->Actions.emplace_back(CurrentVersionChanged{ResourceKind::VmList});
  }
  if (!this->Retention.expireRetained(Now))
    return;
  this->audit(AuditKind::VmsDropped, ResourceKind::VmList,
              this->versionTracker(ResourceKind::VmList).current(), "self",
              "not listed again in time");
  this->rebuildTopology();
  this->Actions.emplace_back(CurrentVersionChanged{ResourceKind::VmList});
}

void Disseminator::rebuildTopology() {
  this->Nodes = Topology(this->Retention.inUse(), this->Options.Self,
                         this->Options.Domain);
  this->Schedule.onOrderChanged();
  this->Members.retain([this](const VmName &Name) {
    return this->Nodes.findByName(Name) != nullptr;
  });
}

} // namespace bluebellbarrow
