#ifndef BLUEBELLBARROW_PLUGINS_NODEBUS_H
#define BLUEBELLBARROW_PLUGINS_NODEBUS_H

#include "kernel/nodesettings.h"
#include "kernel/task.h"
#include "plugins/audit/auditevent.h"
#include "plugins/membership/memberannouncement.h"
#include "tree/snapshot.h"

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace bluebellbarrow {

/** A new snapshot is in force on this node. */
struct SnapshotMessage {
  std::shared_ptr<const Snapshot> Current;
};

/** The file of settings has changed. */
struct SettingsMessage {
  std::shared_ptr<const NodeSettings> Current;
};

/** The node's own state has changed. */
struct LocalStateMessage {
  MemberState State = MemberState::Starting;
};

/** The process was asked to stop in an orderly way. */
struct StopMessage {};

/** Every request has ended; the process can exit. */
struct StoppedMessage {
  /** Requests that the stop cut. */
  uint64_t AbortedRequests = 0;
};

/** What the control task knows of itself, for operators. */
struct ControlStatus {
  VersionId ConfigVersion;
  VersionId VmListVersion;

  /** Wall-clock time at which the version came into force. */
  std::chrono::system_clock::time_point AppliedAt;

  std::optional<Duration> PlatformAge;
  std::map<VersionId, std::string> RefusedVersions;
  MemberState State = MemberState::Starting;
  bool Settled = false;

  size_t TopologyRank = 0;
  size_t NodeCount = 0;
};

/** The messages between a node's tasks. */
struct NodeBus {
  Topic<SnapshotMessage> Snapshots;
  Topic<MemberAnnouncement> Announcements;
  Topic<SettingsMessage> Settings;
  Topic<LocalStateMessage> LocalState;
  Topic<StopMessage> Stop;
  Topic<StoppedMessage> Stopped;
  Topic<AuditEvent> Audit;
  Topic<ControlStatus> Status;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_PLUGINS_NODEBUS_H
