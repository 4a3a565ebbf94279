#include "auditevent.h"

namespace bluebellbarrow {

const char *auditKindName(AuditKind Kind) {
  switch (Kind) {
  case AuditKind::Seen:
    return "seen";
  case AuditKind::Applied:
    return "applied";
  case AuditKind::Refused:
    return "refused";
  case AuditKind::IgnoredOlder:
    return "ignored-older";
  case AuditKind::Conflict:
    return "conflict";
  case AuditKind::DigestMismatch:
    return "digest-mismatch";
  case AuditKind::Bootstrapped:
    return "settled";
  case AuditKind::StateChanged:
    return "state";
  case AuditKind::Paused:
    return "paused";
  case AuditKind::VmsKept:
    return "vms-kept";
  case AuditKind::VmsSkipped:
    return "vms-skipped";
  case AuditKind::VmsDropped:
    return "vms-dropped";
  case AuditKind::EvacuationChanged:
    return "evacuation";
  }
  return "unknown";
}

} // namespace bluebellbarrow
