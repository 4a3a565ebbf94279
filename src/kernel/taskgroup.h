#ifndef BLUEBELLBARROW_KERNEL_TASKGROUP_H
#define BLUEBELLBARROW_KERNEL_TASKGROUP_H

#include "task.h"

#include <memory>
#include <vector>

namespace bluebellbarrow {

/**
 * The tasks of a process: one shared by all components, or one for each.
 *
 * Thread safety: none; used by the main thread only.
 */
class TaskGroup {
public:
  /** With \a Shared, all components use the task that the main thread runs. */
  explicit TaskGroup(bool Shared);

  /** Returns the task that the main thread runs. */
  Task &mainTask() { return this->MainTask; }

  /** Returns the task for a component; it lives as long as the group. */
  Task &taskFor(const TaskOptions &Options);

  /** Starts the other tasks and runs the main one until it is stopped. */
  void run();

  /** Stops the other tasks and waits for their threads to end. */
  void stopWorkers();

private:
  Task MainTask;
  bool Shared;
  std::vector<std::unique_ptr<Task>> Workers;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_TASKGROUP_H
