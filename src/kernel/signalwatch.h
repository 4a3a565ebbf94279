#ifndef BLUEBELLBARROW_KERNEL_SIGNALWATCH_H
#define BLUEBELLBARROW_KERNEL_SIGNALWATCH_H

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
class SignalWatch {
public:
  /**
   * Blocks \a Signals in the calling thread and in those that it starts, and
   * ignores SIGPIPE. To be called before any thread starts.
   */
  static void block(std::initializer_list<int> Signals);

  /** \pre \a Signals are blocked; \a Owner outlives the object. */
  SignalWatch(Task &Owner, std::initializer_list<int> Signals,
              std::function<void(int)> OnSignal);
  ~SignalWatch();

  SignalWatch(const SignalWatch &) = delete;
  SignalWatch &operator=(const SignalWatch &) = delete;

private:
  void onReadable();

  std::function<void(int)> OnSignal;
  std::unique_ptr<Descriptor> Source;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_SIGNALWATCH_H
