#ifndef BLUEBELLBARROW_SPREAD_CONTROLMESSAGES_H
#define BLUEBELLBARROW_SPREAD_CONTROLMESSAGES_H

#include "kernel/ids.h"
#include "plugins/membership/memberannouncement.h"
#include "tree/manifest.h"

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace bluebellbarrow {

/** Short form of a version, sufficient to order two versions. */
struct VersionTag {
  VersionNumber Number;

  /** First 64 bits of the version's digest. */
  uint64_t HashPrefix = 0;

  auto operator<=>(const VersionTag &) const = default; // NOLINT

  bool isNone() const { return this->Number.value() == 0; }

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Number, this->HashPrefix);
  }
};

/** Returns the tag of \a Version. Thread safety: safe. */
VersionTag toVersionTag(const VersionId &Version);

/** What a node knows of successful reads of the platform. */
struct PlatformReadStatus {
  /** The reader with the lowest position; empty for none. */
  VmName Reader;

  /** Milliseconds since its last successful read; 0xffffffff for none. */
  uint32_t ReaderAgeMs = 0xffffffff;

  /** Milliseconds since the last successful read of any node. */
  uint32_t LastSuccessAgeMs = 0xffffffff;

  /**
   * Milliseconds since the last read of the sender failed; 0xffffffff when it
   * succeeded.
   */
  uint32_t LastFailureAgeMs = 0xffffffff;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Reader, this->ReaderAgeMs, this->LastSuccessAgeMs,
       this->LastFailureAgeMs);
  }
};

/** Why a digest is sent. */
enum class DigestPurpose : uint8_t {
  /** Sent periodically, so that nodes detect versions that they missed. */
  Periodic = 0,

  /** Requests a Response. */
  Query = 1,

  Response = 2,

  /** Reports a read of the platform. */
  ReadUpdate = 3,
};

/** Datagram by which nodes compare versions and states. */
struct DigestMessage {
  MeshId Mesh;
  DigestPurpose Purpose = DigestPurpose::Periodic;
  MemberAnnouncement Sender;

  /** Current versions, indexed by ResourceKind. */
  std::array<VersionTag, ResourceKindCount> Versions;

  PlatformReadStatus PlatformReads;

  /** Recent announcements of other nodes. */
  std::vector<MemberAnnouncement> Announcements;

  template <typename Archive> void serialize(Archive &Ar) {
    auto Raw = static_cast<uint8_t>(this->Purpose);
    Ar(this->Mesh, Raw, this->Sender, this->Versions[0], this->Versions[1],
       this->PlatformReads, this->Announcements);
    this->Purpose = static_cast<DigestPurpose>(Raw);
  }
};

/** Tree down which a version is pushed in one domain. */
struct PushTree {
  /** Root; empty for the first node by rank. */
  Address Root;

  /** Children of each node; 0 for the fan-out of the policy. */
  uint16_t FanOut = 0;

  /** The receiver pushes the version down a tree of which it is the root. */
  bool ReceiverIsRoot = false;

  auto operator<=>(const PushTree &) const = default; // NOLINT

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Root, this->FanOut, this->ReceiverIsRoot);
  }
};

/** Announces that a version can be pulled from the sender. */
struct OfferMessage {
  ResourceKind Kind = ResourceKind::Config;
  VersionId Version;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Kind, this->Version);
  }
};

/** A version, in full or as a delta from a base. */
struct TransferMessage {
  ResourceKind Kind = ResourceKind::Config;
  VersionId Version;

  /** Version that the delta applies to; none for a full version. */
  VersionId Base;

  /** True for a push, which the receiver acknowledges by an AckMessage. */
  bool Pushed = false;

  /** Tree in which the receiver forwards a push. */
  PushTree Tree;

  /** Manifest with only the entries that differ from the base. */
  Manifest Changes;

  /** Paths of the base that the version does not contain. */
  std::vector<std::string> Removed;

  /** Texts of the entries that the base does not contain. */
  std::vector<std::string> Texts;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Kind, this->Version, this->Base, this->Pushed, this->Tree,
       this->Changes, this->Removed, this->Texts);
  }
};

/** Replies to an offer or a push: the sender received it. */
struct AckMessage {
  ResourceKind Kind = ResourceKind::Config;
  VersionId Version;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Kind, this->Version);
  }
};

/** Requests the current version of the receiver. */
struct PullMessage {
  ResourceKind Kind = ResourceKind::Config;

  /** Current version of the sender, if any. */
  VersionId CurrentVersion;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Kind, this->CurrentVersion);
  }
};

/** Replies to a pull that the sender can't serve now. */
struct BusyMessage {
  ResourceKind Kind = ResourceKind::Config;

  /** Milliseconds to wait before the next pull. */
  uint32_t RetryAfterMs = 0;

  /** A node that was served recently; empty for none. */
  Address AlternatePeer;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Kind, this->RetryAfterMs, this->AlternatePeer);
  }
};

/** Announcements that are forwarded down the tree at once. */
struct AnnouncementsMessage {
  std::vector<MemberAnnouncement> Announcements;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Announcements);
  }
};

/** Any message of a control stream; its index is the kind of the frame. */
using ControlMessage =
    std::variant<OfferMessage, TransferMessage, AckMessage, PullMessage,
                 BusyMessage, AnnouncementsMessage>;

/** Returns the name of a message for metrics and golden files. */
const char *controlMessageName(const ControlMessage &Message);

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_SPREAD_CONTROLMESSAGES_H
