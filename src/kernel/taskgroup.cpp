#include "taskgroup.h"

namespace bluebellbarrow {

namespace {

/** Sockets of a whole node. */
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
  for (const auto &Each : this->Workers)
    Each->start();
  this->MainTask.run();
}

void TaskGroup::stopWorkers() {
  for (const auto &Each : this->Workers) {
    Each->stop();
    Each->join();
  }
}

} // namespace bluebellbarrow
