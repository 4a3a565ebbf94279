#ifndef BLUEBELLBARROW_SPREAD_DISSEMINATORACTIONS_H
#define BLUEBELLBARROW_SPREAD_DISSEMINATORACTIONS_H

#include "controlmessages.h"
#include "kernel/clock.h"
#include "plugins/audit/auditevent.h"

#include <variant>
#include <vector>

namespace bluebellbarrow {

/** Sends a digest as a datagram. */
struct SendDigest {
  Address To;
  DigestMessage Message;
};

/** Sends a message on the control stream to a node; opens one if needed. */
struct SendControl {
  Address To;
  ControlMessage Message;
};

/**
 * Closes the control stream to an unresponsive node, unless bytes have been
 * transferred on it since the last message; the next message opens another.
 */
struct ResetStalledStream {
  Address To;
};

/** Reads the manifest or the VM list from the platform. */
struct ReadPlatform {
  ResourceKind Kind = ResourceKind::Config;

  /** Revision that was seen last; 0 for none. */
  uint64_t ChangedSince = 0;

  /** Time for which the platform may hold the request until a change. */
  Duration LongPollTimeout{};
};

/** Reads a part or a bundle, which are immutable, from the platform. */
struct ReadBlob {
  Digest Hash;
  bool IsBundle = false;
};

/** The current version of \a Kind has changed. */
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
