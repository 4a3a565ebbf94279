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

/** Shared objects that every plug-in of a node gets; outlive the plug-ins. */
struct NodeContext {
  /** Settings at the start; a SettingsMessage carries later ones. */
  const NodeSettings &Settings;

  TaskGroup &Tasks;
  NodeBus &Bus;
  Metrics &NodeMetrics;

  /** Incarnation of this process. */
  IncarnationId Incarnation;
};

/**
 * A component of a node that runs on its own task or on a shared one. Created
 * by name from the registry.
 *
 * Thread safety: prepare() is called from the main thread before any task
 * runs.
 */
class NodePlugin {
public:
  virtual ~NodePlugin() = default;

  /** Opens sockets and subscribes to messages before any task runs. */
  virtual Result<std::monostate> prepare() = 0;
};

using NodePluginRegistry = Registry<NodePlugin, NodeContext &>;

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_PLUGINS_NODEPLUGIN_H
