#ifndef BLUEBELLBARROW_SPREAD_SPREADACTIONS_H
#define BLUEBELLBARROW_SPREAD_SPREADACTIONS_H

#include "kernel/clock.h"
#include "plugins/audit/auditevent.h"
#include "spreadmessages.h"

#include <variant>
#include <vector>

namespace bluebellbarrow {

/** Sends a datagram. */
struct SendDigest {
  Address To;
  DigestMessage Message;
};

/** Sends a message on the control stream to a node, opening it if need be. */
struct SendControl {
  Address To;
  ControlMessage Message;
};

/**
 * Gives up the control stream to a node that has not answered, unless bytes
 * have moved on it since the last message; the next message opens another.
 */
struct RenewLink {
  Address To;
};

/** Reads the manifest or the VM list at the platform. */
struct ReadPlatform {
  ItemKind Kind = ItemKind::Config;

  /** Revision that was seen last; 0 for none. */
  uint64_t ChangedSince = 0;

  /** Time for which the platform may wait for a change. */
  Duration Wait{};
};

/** Reads an immutable value at the platform. */
struct ReadPart {
  Digest Hash;
  bool Bundle = false;
};

/** The version of \a Kind that is in force has changed. */
struct VersionInForce {
  ItemKind Kind = ItemKind::Config;
};

/** An announcement about another node has changed. */
struct MemberChanged {
  MemberAnnouncement Announced;
};

using SpreadAction =
    std::variant<SendDigest, SendControl, RenewLink, ReadPlatform, ReadPart,
                 VersionInForce, MemberChanged, AuditEvent>;

using SpreadActions = std::vector<SpreadAction>;

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_SPREAD_SPREADACTIONS_H
