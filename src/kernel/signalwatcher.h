#ifndef BLUEBELLBARROW_KERNEL_SIGNALWATCHER_H
#define BLUEBELLBARROW_KERNEL_SIGNALWATCHER_H

#include <functional>
#include <initializer_list>
#include <memory>

namespace bluebellbarrow {

class Descriptor;
class Task;

/**
 * Calls a handler on a task's thread for each signal that the process receives.
 *
 * Thread safety: none; owned by one task.
 */
class SignalWatcher {
public:
  /**
   * Blocks \a Signals in the calling thread and the threads that it starts
   * later, and ignores SIGPIPE. \pre no other thread has been started.
   */
  static void block(std::initializer_list<int> Signals);

  /** \pre \a Signals are blocked; \a Owner outlives the watcher. */
  SignalWatcher(Task &Owner, std::initializer_list<int> Signals,
                std::function<void(int)> OnSignal);
  ~SignalWatcher();

  SignalWatcher(const SignalWatcher &) = delete;
  SignalWatcher &operator=(const SignalWatcher &) = delete;

private:
  void onReadable();

  std::function<void(int)> OnSignal;
  std::unique_ptr<Descriptor> SignalDescriptor;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_SIGNALWATCHER_H
