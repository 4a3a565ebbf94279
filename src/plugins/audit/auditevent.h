#ifndef BLUEBELLBARROW_AUDIT_AUDITEVENT_H
#define BLUEBELLBARROW_AUDIT_AUDITEVENT_H

#include "kernel/ids.h"
#include "tree/manifest.h"

#include <string>

namespace bluebellbarrow {

/** Kind of an entry in the audit trail. */
enum class AuditKind {
  Seen,
  Applied,
  Refused,
  IgnoredOlder,
  Conflict,
  DigestMismatch,
  Bootstrapped,
  StateChanged,
  Paused,
  VmsKept,
  VmsDropped,
};

/** Returns the name of \a Kind in the audit trail and in logs. */
const char *auditKindName(AuditKind Kind);

/** A change, or an attempted one, that this node observed. */
struct AuditEvent {
  AuditKind Kind = AuditKind::Seen;
  ResourceKind Resource = ResourceKind::Config;
  VersionId Version;

  /** Where it was learned: an address, "platform" or "self". */
  std::string Source;

  std::string Detail;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_AUDIT_AUDITEVENT_H
