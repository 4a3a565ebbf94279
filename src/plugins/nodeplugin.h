#ifndef BLUEBELLBARROW_PLUGINS_NODEPLUGIN_H
#define BLUEBELLBARROW_PLUGINS_NODEPLUGIN_H

#include "kernel/error.h"
#include "kernel/nodesettings.h"
#include "kernel/registry.h"
#include "kernel/taskgroup.h"
#include "nodebus.h"

#include <variant>

namespace bluebellbarrow {

class Metrics;

/** What every plug-in of a node gets; outlives the plug-ins. */
struct NodeContext {
  /** Settings at the start; SettingsMessage brings later ones. */
  const NodeSettings &Settings;

  TaskGroup &Tasks;
  NodeBus &Bus;
  Metrics &NodeMetrics;

  /** Life of this process. */
  IncarnationId Incarnation;
};

/**
 * A part of a node that runs on a task of its own or on one that the parts
 * share. Created by name from the registry.
 *
 * Thread safety: prepare() is called from the main thread before any task
 * runs.
 */
class NodePlugin {
public:
  virtual ~NodePlugin() = default;

  /** Opens sockets and subscribes to messages; no task runs yet. */
  virtual Result<std::monostate> prepare() = 0;
};

using NodePluginRegistry = Registry<NodePlugin, NodeContext &>;

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_PLUGINS_NODEPLUGIN_H
