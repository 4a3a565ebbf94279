#ifndef BLUEBELLBARROW_KERNEL_TASKGROUP_H
#define BLUEBELLBARROW_KERNEL_TASKGROUP_H

#include "task.h"

#include <memory>
#include <vector>

namespace bluebellbarrow {

/**
 * The tasks of a process: one that all share, or one for each that asks.
 *
 * Thread safety: none; for the main thread.
 */
class TaskGroup {
public:
  /** \a Shared makes one task, run by the main thread, serve all. */
  explicit TaskGroup(bool Shared);

  /** Returns the task that the main thread runs. */
  Task &mainTask() { return this->MainTask; }

  /** Returns the task for what \a Options names; lives as long as the pool. */
  Task &getOrCreate(const TaskOptions &Options);

  /** Starts the other tasks and runs the main one until it is stopped. */
  void run();

  /** Stops the other tasks and waits for them. */
  void stopWorkers();

private:
  Task MainTask;
  bool Shared;
  std::vector<std::unique_ptr<Task>> Workers;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_TASKGROUP_H
