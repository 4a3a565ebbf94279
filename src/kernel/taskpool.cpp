#include "taskpool.h"

namespace bluebellbarrow {

namespace {

/** Sockets of a whole node. */
constexpr unsigned MaxSharedSockets = 8192;

constexpr unsigned MaxMainSockets = 64;

} // namespace

TaskPool::TaskPool(bool Shared)
    : Main({.Name = "main",
            .MaxSockets = Shared ? MaxSharedSockets : MaxMainSockets}),
      Shared(Shared) {}

Task &TaskPool::get(const TaskOptions &Options) {
  if (this->Shared)
    return this->Main;
  this->Others.push_back(std::make_unique<Task>(Options));
  return *this->Others.back();
}

void TaskPool::run() {
  for (const auto &Each : this->Others)
    Each->start();
  this->Main.run();
}

void TaskPool::stopOthers() {
  for (const auto &Each : this->Others) {
    Each->stop();
    Each->join();
  }
}

} // namespace bluebellbarrow
