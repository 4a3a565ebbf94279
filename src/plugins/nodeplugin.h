#ifndef BLUEBELLBARROW_PLUGINS_NODEPLUGIN_H
#define BLUEBELLBARROW_PLUGINS_NODEPLUGIN_H

#include "kernel/error.h"
#include "kernel/nodesettings.h"
#include "kernel/registry.h"
#include "nodebus.h"

#include <variant>

namespace bluebellbarrow {

class Metrics;

/** What every plug-in of a node gets; outlives the plug-ins. */
struct NodeContext {
  const NodeSettings &Settings;
  NodeBus &Bus;
  Metrics &Counters;

  /** Life of this process. */
  Incarnation Life;
};

/**
 * A part of a node with a task of its own. Created by name from the registry.
 *
 * Thread safety: every method is called from the main thread, in the order
 * of their declaration.
 */
class NodePlugin {
public:
  virtual ~NodePlugin() = default;

  /** Opens sockets and subscribes to messages; no task runs yet. */
  virtual Result<std::monostate> prepare() = 0;

  /** Starts the task. */
  virtual void start() = 0;

  /** Ends the task and waits for it. */
  virtual void stop() = 0;
};

using NodePluginRegistry = Registry<NodePlugin, NodeContext &>;

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_PLUGINS_NODEPLUGIN_H
