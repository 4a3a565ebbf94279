#ifndef BLUEBELLBARROW_AUDIT_AUDITEVENT_H
#define BLUEBELLBARROW_AUDIT_AUDITEVENT_H

#include "kernel/ids.h"
#include "tree/manifest.h"

#include <string>

namespace bluebellbarrow {

/** Kind of an entry in the audit trail. */
enum class AuditKind {
  /** The platform lists a new version; its parts are fetched next. */
  Seen,

  Applied,
  Refused,
  IgnoredOlder,

  /** A version has the number of the current or a refused one, but differs. */
  Conflict,

  DigestMismatch,
  Bootstrapped,
  StateChanged,
  Paused,

  /** VMs that the list lacks are retained after an outage of the platform. */
  VmsKept,

  /** A list has malformed VMs, which are not used; or no longer has any. */
  VmsSkipped,

  /** Retained VMs were not listed again in time. */
  VmsDropped,

  /** Operators have evacuated a failure domain, or have taken it back. */
  EvacuationChanged,
};

/** Returns the name of \a Kind in the audit trail and in logs. */
const char *auditKindName(AuditKind Kind);

/** A change, or an attempted one, that this node observed. */
struct AuditEvent {
  AuditKind Kind = AuditKind::Seen;
  ResourceKind Resource = ResourceKind::Config;
  VersionId Version;

  /** Where the node learned of it: an address, "platform" or "self". */
  std::string Source;

  std::string Detail;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_AUDIT_AUDITEVENT_H
