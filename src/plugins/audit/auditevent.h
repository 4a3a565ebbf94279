#ifndef BLUEBELLBARROW_AUDIT_AUDITEVENT_H
#define BLUEBELLBARROW_AUDIT_AUDITEVENT_H

#include "kernel/ids.h"
#include "tree/manifest.h"

#include <string>

namespace bluebellbarrow {

/** What an entry of the audit trail records. */
enum class AuditKind {
  Seen,
  Applied,
  Refused,
  IgnoredOlder,
  Conflict,
  DigestMismatch,
  Settled,
  StateChanged,
  Paused,
  VmsKept,
  VmsDropped,
};

/** Returns the name of \a Kind as the trail shows it. */
const char *auditKindName(AuditKind Kind);

/** One change, or attempt at one, that this node saw. */
struct AuditEvent {
  AuditKind Kind = AuditKind::Seen;
  ResourceKind Item = ResourceKind::Config;
  VersionId Version;

  /** Who told this node: an address, "platform" or "self". */
  std::string Source;

  std::string Detail;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_AUDIT_AUDITEVENT_H
