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

/** A version in short: enough to order two versions. */
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

/** What a node knows of good reads of the platform. */
struct PlatformReadStatus {
  /** The best-placed node that reads; empty for none. */
  VmName Reader;

  /** Milliseconds since that node's last good read; the largest for none. */
  uint32_t ReaderAgeMs = 0xffffffff;

  /** Milliseconds since the last good read of any node. */
  uint32_t LastSuccessAgeMs = 0xffffffff;

  /** The same since the sender's own read failed; none after a good one. */
  uint32_t LastFailureAgeMs = 0xffffffff;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Reader, this->ReaderAgeMs, this->LastSuccessAgeMs,
       this->LastFailureAgeMs);
  }
};

/** Why a digest is sent. */
enum class DigestPurpose : uint8_t {
  /** Sent from time to time to repair what was missed. */
  Periodic = 0,

  /** Wants an Answer. */
  Query = 1,

  Response = 2,

  /** Tells of a read of the platform. */
  ReadUpdate = 3,
};

/** The periodic datagram between nodes. */
struct DigestMessage {
  MeshId Mesh;
  DigestPurpose Purpose = DigestPurpose::Periodic;
  MemberAnnouncement Sender;

  /** The versions in force, by ItemKind. */
  std::array<VersionTag, ResourceKindCount> Versions;

  PlatformReadStatus ReadStatus;

  /** Recent announcements of others. */
  std::vector<MemberAnnouncement> Announcements;

  template <typename Archive> void serialize(Archive &Ar) {
    auto Raw = static_cast<uint8_t>(this->Purpose);
    Ar(this->Mesh, Raw, this->Sender, this->Versions[0], this->Versions[1],
       this->ReadStatus, this->Announcements);
    this->Purpose = static_cast<DigestPurpose>(Raw);
  }
};

/** The tree down which a version goes in one domain. */
struct PushTree {
  /** Its root; empty for the first node by rank. */
  Address Root;

  /** Children of each node; 0 for what the policy says. */
  uint16_t FanOut = 0;

  /** The receiver is to be the root of a tree of its own. */
  bool ReceiverIsRoot = false;

  auto operator<=>(const PushTree &) const = default; // NOLINT

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Root, this->FanOut, this->ReceiverIsRoot);
  }
};

/** Says that a version can be pulled from the sender. */
struct OfferMessage {
  ResourceKind Kind = ResourceKind::Config;
  VersionId Version;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Kind, this->Version);
  }
};

/** A version, whole or as the change from a base. */
struct TransferMessage {
  ResourceKind Kind = ResourceKind::Config;
  VersionId Version;

  /** Version that the entries change; none for a whole transfer. */
  VersionId Base;

  /** True when the sender wants an AckMessage. */
  bool Pushed = false;

  /** Where it goes from the receiver; for a pushed one. */
  PushTree Tree;

  /** The catalog, with only the entries that differ from the base. */
  Manifest Changes;

  /** Paths of the base that the version does not have. */
  std::vector<std::string> Removed;

  /** Texts of the entries that the base does not hold. */
  std::vector<std::string> Texts;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Kind, this->Version, this->Base, this->Pushed, this->Tree,
       this->Changes, this->Removed, this->Texts);
  }
};

/** Answers an offer or a push: the sender has the version or a newer one. */
struct AckMessage {
  ResourceKind Kind = ResourceKind::Config;
  VersionId Version;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Kind, this->Version);
  }
};

/** Asks for the version in force at the receiver. */
struct PullMessage {
  ResourceKind Kind = ResourceKind::Config;

  /** What the sender has; none for nothing. */
  VersionId CurrentVersion;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Kind, this->CurrentVersion);
  }
};

/** Answers a pull that the receiver can't serve now. */
struct BusyMessage {
  ResourceKind Kind = ResourceKind::Config;

  /** Milliseconds to wait before asking again. */
  uint32_t RetryAfterMs = 0;

  /** A node that was served lately; empty for none. */
  Address AlternatePeer;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Kind, this->RetryAfterMs, this->AlternatePeer);
  }
};

/** Announcements that go down the tree at once. */
struct AnnouncementsMessage {
  std::vector<MemberAnnouncement> Announcements;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Announcements);
  }
};

/** Any message of a control stream; the index is the frame's kind. */
using ControlMessage =
    std::variant<OfferMessage, TransferMessage, AckMessage, PullMessage,
                 BusyMessage, AnnouncementsMessage>;

/** Returns the name of a message for metrics and golden files. */
const char *controlMessageName(const ControlMessage &Message);

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_SPREAD_CONTROLMESSAGES_H
