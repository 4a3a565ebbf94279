#include "taskgroup.h"

namespace bluebellbarrow {

namespace {

/** Sockets of the task that all components of a node share. */
constexpr unsigned MaxSharedSockets = 8192;

/** Sockets of the main task when each component has a task of its own. */
constexpr unsigned MaxMainSockets = 64;

} // namespace

TaskGroup::TaskGroup(bool Shared)
    : MainTask({.Name = "main",
                .MaxSockets = Shared ? MaxSharedSockets : MaxMainSockets}),
      Shared(Shared) {}

Task &TaskGroup::taskFor(const TaskOptions &Options) {
  if (this->Shared)
    return this->MainTask;
  this->Workers.push_back(std::make_unique<Task>(Options));
  return *this->Workers.back();
}

void TaskGroup::run() {
  for (const auto &Worker : this->Workers)
    Worker->start();
  this->MainTask.run();
}

void TaskGroup::stopWorkers() {
  for (const auto &Worker : this->Workers) {
    Worker->stop();
    Worker->join();
  }
}

} // namespace bluebellbarrow
