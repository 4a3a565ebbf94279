#ifndef BLUEBELLBARROW_MEMBERSHIP_MEMBERANNOUNCEMENT_H
#define BLUEBELLBARROW_MEMBERSHIP_MEMBERANNOUNCEMENT_H

#include "kernel/ids.h"

#include <cstdint>
#include <vector>

namespace bluebellbarrow {

/** What a node says of itself and its target. */
enum class MemberState : uint8_t {
  /** Neither target nor settings are ready yet. */
  Starting = 0,

  Serving = 1,

  /** Finishes what it has and takes nothing new. */
  Draining = 2,

  /** The process has ended in an orderly way. */
  Gone = 3,
};

/** Returns the name of \a State for logs and tables. */
const char *memberStateName(MemberState State);

/** A node's announcement of its own state; a higher (life, sequence) replaces a
 * lower one. */
struct MemberAnnouncement {
  VmName Name;
  IncarnationId Incarnation;

  /** Counts the announcements of one life. */
  uint32_t Sequence = 0;

  MemberState State = MemberState::Starting;

  /** A whole read of the platform takes this node long. */
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
