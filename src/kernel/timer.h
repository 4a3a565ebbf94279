#ifndef BLUEBELLBARROW_KERNEL_TIMER_H
#define BLUEBELLBARROW_KERNEL_TIMER_H

#include "clock.h"

#include <functional>
#include <map>
#include <memory>
#include <utility>

namespace bluebellbarrow {

class Descriptor;
class Task;

/**
 * The timers of one task, driven by one timerfd. The timers of libwebsockets
 * have a resolution of 1 ms and make the loop busy-wait during the last
 * millisecond.
 *
 * Thread safety: none; owned by one task.
 */
class TimerQueue {
public:
  /** The time at which a timer is due, and a sequence number. */
  using Id = std::pair<TimePoint, uint64_t>;

  /** \pre \a Owner outlives the queue. */
  explicit TimerQueue(Task &Owner);
  ~TimerQueue();

  TimerQueue(const TimerQueue &) = delete;
  TimerQueue &operator=(const TimerQueue &) = delete;

  /** Calls \a Callback once, at \a Due or as soon as possible after it. */
  Id add(TimePoint Due, std::function<void()> Callback);

  /** Removes a timer; does nothing when it has fired. */
  void remove(const Id &TimerId);

private:
  void arm();
  void fireExpired();

  std::map<Id, std::function<void()>> Pending;
  uint64_t LastSequence = 0;
  std::unique_ptr<Descriptor> TimerDescriptor;

  /** Time at which the timerfd expires; max() when it is not set. */
  TimePoint ArmedFor = TimePoint::max();
};

/**
 * Calls a function on a task's thread after a delay.
 *
 * Thread safety: none; owned by code that runs on the task.
 */
class Timer {
public:
  /** \pre \a Owner outlives the timer. */
  Timer(Task &Owner, std::function<void()> Callback);
  ~Timer();

  Timer(const Timer &) = delete;
  Timer &operator=(const Timer &) = delete;

  /** Starts or restarts the timer. */
  void start(Duration Delay);

  /** Stops the timer; does nothing when it is not running. */
  void cancel();

private:
  TimerQueue &Queue;
  std::function<void()> Callback;
  TimerQueue::Id CurrentId;
  bool Running = false;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_TIMER_H
