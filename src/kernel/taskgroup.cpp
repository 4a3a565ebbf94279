#include "taskgroup.h"

namespace bluebellbarrow {

namespace {

/** Sockets of all components of a node. */
constexpr unsigned MaxSharedSockets = 8192;

constexpr unsigned MaxMainSockets = 64;

} // namespace

TaskGroup::TaskGroup(bool Shared)
    : MainTask({.Name = "main",
                .MaxSockets = Shared ? MaxSharedSockets : MaxMainSockets}),
      Shared(Shared) {}

Task &TaskGroup::getOrCreate(const TaskOptions &Options) {
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
