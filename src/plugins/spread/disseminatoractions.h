#ifndef BLUEBELLBARROW_SPREAD_DISSEMINATORACTIONS_H
#define BLUEBELLBARROW_SPREAD_DISSEMINATORACTIONS_H

#include "controlmessages.h"
#include "kernel/clock.h"
#include "plugins/audit/auditevent.h"

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
struct ResetStalledStream {
  Address To;
};

/** Reads the manifest or the VM list at the platform. */
struct ReadPlatform {
  ResourceKind Kind = ResourceKind::Config;

  /** Revision that was seen last; 0 for none. */
  uint64_t ChangedSince = 0;

  /** Time for which the platform may wait for a change. */
  Duration LongPollTimeout{};
};

/** Reads an immutable value at the platform. */
struct ReadBlob {
  Digest Hash;
  bool IsBundle = false;
};

/** The version of \a Kind that is in force has changed. */
struct CurrentVersionChanged {
  ResourceKind Kind = ResourceKind::Config;
};

/** An announcement about another node has changed. */
struct MemberChanged {
  MemberAnnouncement Announcement;
};

using DisseminatorAction =
    std::variant<SendDigest, SendControl, ResetStalledStream, ReadPlatform,
                 ReadBlob, CurrentVersionChanged, MemberChanged, AuditEvent>;

using DisseminatorActions = std::vector<DisseminatorAction>;

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_SPREAD_DISSEMINATORACTIONS_H
