#ifndef BLUEBELLBARROW_KERNEL_TASKPOOL_H
#define BLUEBELLBARROW_KERNEL_TASKPOOL_H

#include "task.h"

#include <memory>
#include <vector>

namespace bluebellbarrow {

/**
 * The tasks of a process: one that all share, or one for each that asks.
 *
 * Thread safety: none; for the main thread.
 */
class TaskPool {
public:
  /** \a Shared makes one task, run by the main thread, serve all. */
  explicit TaskPool(bool Shared);

  /** Returns the task that the main thread runs. */
  Task &main() { return this->Main; }

  /** Returns the task for what \a Options names; lives as long as the pool. */
  Task &get(const TaskOptions &Options);

  /** Starts the other tasks and runs the main one until it is stopped. */
  void run();

  /** Stops the other tasks and waits for them. */
  void stopOthers();

private:
  Task Main;
  bool Shared;
  std::vector<std::unique_ptr<Task>> Others;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_TASKPOOL_H
