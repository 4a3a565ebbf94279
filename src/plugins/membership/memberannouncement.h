#ifndef BLUEBELLBARROW_MEMBERSHIP_MEMBERANNOUNCEMENT_H
#define BLUEBELLBARROW_MEMBERSHIP_MEMBERANNOUNCEMENT_H

#include "kernel/ids.h"

#include <cstdint>
#include <vector>

namespace bluebellbarrow {

/** State of a node and its target, as the node announces it. */
enum class MemberState : uint8_t {
  /** The target or the settings are not ready yet. */
  Starting = 0,

  Serving = 1,

  /** Completes running requests and refuses new ones. */
  Draining = 2,

  /** The process has shut down gracefully. */
  Gone = 3,
};

/** Returns the name of \a State for logs and tables. */
const char *memberStateName(MemberState State);

/**
 * A node's announcement of its state. One with a higher (incarnation, sequence)
 * replaces a lower one.
 */
struct MemberAnnouncement {
  VmName Name;
  IncarnationId Incarnation;

  /** Counts the announcements of one incarnation. */
  uint32_t Sequence = 0;

  MemberState State = MemberState::Starting;

  /** A complete read of the platform takes this node a long time. */
  bool IsSlowReader = false;

  /** Reads or writes the announcement with a cereal archive. */
  template <typename Archive> void serialize(Archive &Ar) {
    auto Raw = static_cast<uint8_t>(this->State);
    Ar(this->Name, this->Incarnation, this->Sequence, Raw, this->IsSlowReader);
    this->State = static_cast<MemberState>(Raw);
  }
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_MEMBERSHIP_MEMBERANNOUNCEMENT_H
