#ifndef BLUEBELLBARROW_KERNEL_TASK_H
#define BLUEBELLBARROW_KERNEL_TASK_H

#include "clock.h"
#include "timer.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

struct lws_context;
struct lws_vhost;

namespace bluebellbarrow {

class TimerQueue;

/** Limits of a task's event loop. */
struct TaskOptions {
  /** Name for logs and for the thread. */
  std::string Name;

  /** Sockets that may be open at once. */
  unsigned MaxSockets = 1024;
};

/**
 * A thread with an event loop that owns sockets and state. Other tasks reach
 * it only by post().
 *
 * Thread safety: post() and stop() may be called from any thread, everything
 * else from the thread that runs the loop or before it runs.
 */
class Task {
public:
  explicit Task(TaskOptions Options);
  ~Task();

  Task(const Task &) = delete;
  Task &operator=(const Task &) = delete;

  /**
   * Returns true once the loop has ended. Its sockets are closed then, and
   * what owns them must not touch them.
   */
  bool hasStopped() const { return this->Stopped; }

  /** Returns the library's record that holds the descriptors. */
  lws_vhost *vhost() const { return this->Vhost; }

  /** Returns the current time. */
  static TimePoint now() { return Clock::now(); }

  /** Returns the queue of this task's timers. */
  TimerQueue &timers() const { return *this->Timers; }

  /** Starts the loop in a thread of its own. \pre not started. */
  void start();

  /** Runs the loop in the calling thread until stop(). \pre not started. */
  void run();

  /** Ends the loop after the calls that were posted before. */
  void stop();

  /** Waits for the loop's thread to end. */
  void join();

  /** Calls \a Work on the task's thread, in the order of posting. */
  void post(std::function<void()> Work);

private:
  bool runPosted();

  TaskOptions Options;
  lws_context *Context = nullptr;
  lws_vhost *Vhost = nullptr;
  std::unique_ptr<TimerQueue> Timers;
  std::thread Thread;

  /** Thread that runs the loop. */
  std::atomic<std::thread::id> LoopThreadId;

  std::mutex Mutex;
  std::vector<std::function<void()>> PostedWork;
  std::atomic<bool> Stopping = false;
  std::atomic<bool> Stopped = false;
};

/** Sends messages of one type to the tasks that subscribed. */
template <typename T> class Topic {
public:
  /** Calls \a Handler on \a Receiver. \pre no task has been started. */
  void subscribe(Task &Receiver, std::function<void(const T &)> Handler) {
    this->Subscribers.push_back({&Receiver, std::move(Handler)});
  }

  /** Sends \a Message to each subscriber. Thread safety: safe. */
  void publish(const T &Message) const {
    for (const Subscriber &Each : this->Subscribers)
      Each.Receiver->post(
          [Handler = Each.Handler, Message] { Handler(Message); });
  }

private:
  struct Subscriber {
    Task *Receiver;
    std::function<void(const T &)> Handler;
  };

  std::vector<Subscriber> Subscribers;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_TASK_H
