#ifndef BLUEBELLBARROW_KERNEL_SIGNALWATCHER_H
#define BLUEBELLBARROW_KERNEL_SIGNALWATCHER_H

#include <functional>
#include <initializer_list>
#include <memory>

namespace bluebellbarrow {

class Descriptor;
class Task;

/**
 * Reports signals of the system on a task.
 *
 * Thread safety: none; owned by one task.
 */
class SignalWatcher {
public:
  /**
   * Blocks \a Signals in the calling thread and in those that it starts, and
   * ignores SIGPIPE. To be called before any thread starts.
   */
  static void block(std::initializer_list<int> Signals);

  /** \pre \a Signals are blocked; \a Owner outlives the object. */
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
