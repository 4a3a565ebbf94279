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

/** A new snapshot has been applied on this node. */
struct SnapshotMessage {
  std::shared_ptr<const Snapshot> Current;
};

/** The settings file has changed. */
struct SettingsMessage {
  std::shared_ptr<const NodeSettings> Current;
};

/** The state of the local node has changed. */
struct LocalStateMessage {
  MemberState State = MemberState::Starting;
};

/** A graceful shutdown was requested. */
struct ShutdownMessage {};

/** The graceful shutdown is complete; the process can exit. */
struct ShutdownCompleteMessage {
  /** Requests that the shutdown aborted. */
  uint64_t AbortedRequests = 0;
};

/** Status of the control task, for operators. */
struct ControlStatus {
  VersionId ConfigVersion;
  VersionId VmListVersion;

  /** Wall-clock time at which ConfigVersion was applied. */
  std::chrono::system_clock::time_point AppliedAt;

  /** Age of the newest successful read of the platform; unset for none. */
  std::optional<Duration> PlatformAge;

  std::map<VersionId, std::string> RefusedVersions;

  /** Evacuated failure domains and the wall-clock time of their evacuation. */
  std::map<FailureDomain, std::chrono::system_clock::time_point> EvacuatedSince;

  MemberState State = MemberState::Starting;
  bool Bootstrapped = false;

  /** This node's rank in its domain. */
  size_t DomainRank = 0;

  size_t NodeCount = 0;
};

/** Topics for messages between the tasks of a node. */
struct NodeBus {
  Topic<SnapshotMessage> Snapshots;
  Topic<MemberAnnouncement> Announcements;
  Topic<SettingsMessage> Settings;
  Topic<LocalStateMessage> LocalState;
  Topic<ShutdownMessage> Shutdown;
  Topic<ShutdownCompleteMessage> ShutdownComplete;
  Topic<AuditEvent> Audit;
  Topic<ControlStatus> Status;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_PLUGINS_NODEBUS_H
