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

/** Options of a task. */
struct TaskOptions {
  /** Name of the thread; its first 15 bytes are used. */
  std::string Name;

  /** Sockets that may be open at once. */
  unsigned MaxSockets = 1024;
};

/**
 * An event loop that owns sockets and state. Other tasks access them only
 * through post().
 *
 * Thread safety: post() and stop() are safe; everything else is for the thread
 * that runs the loop, or for use before it runs.
 */
class Task {
public:
  explicit Task(TaskOptions Options);
  ~Task();

  Task(const Task &) = delete;
  Task &operator=(const Task &) = delete;

  /**
   * Returns true once the loop has ended. The loop then closes its sockets, and
   * their owners must no longer use them.
   */
  bool hasStopped() const { return this->Stopped; }

  /** Returns the libwebsockets vhost that descriptors are adopted into. */
  lws_vhost *vhost() const { return this->Vhost; }

  /** Returns the current time. */
  static TimePoint now() { return Clock::now(); }

  /** Returns the queue of this task's timers. */
  TimerQueue &timers() const { return *this->Timers; }

  /** Starts the loop in a thread of its own. \pre not started. */
  void start();

  /** Runs the loop in the calling thread until stop(). \pre not started. */
  void run();

  /** Ends the loop after running the functions that were posted earlier. */
  void stop();

  /** Waits for the loop's thread to end. */
  void join();

  /**
   * Calls \a Work on the task's thread, in the order of posting. Has no effect
   * once the loop has ended.
   */
  void post(std::function<void()> Work);

private:
  /** Runs the posted work; returns false when the loop is to end. */
  bool runPosted();

  TaskOptions Options;
  lws_context *Context = nullptr;
  lws_vhost *Vhost = nullptr;
  std::unique_ptr<TimerQueue> Timers;
  std::thread Thread;

  std::atomic<std::thread::id> LoopThreadId;

  std::mutex Mutex;
  std::vector<std::function<void()>> PostedWork;
  std::atomic<bool> Stopping = false;
  std::atomic<bool> Stopped = false;
};

/** Sends messages of one type to subscribed tasks. */
template <typename T> class Topic {
public:
  /**
   * Calls \a Handler on the thread of \a Receiver for each message.
   * \pre no task has been started.
   */
  void subscribe(Task &Receiver, std::function<void(const T &)> Handler) {
    this->Subscribers.push_back({&Receiver, std::move(Handler)});
  }

  /** Sends \a Message to each subscriber. Thread safety: safe. */
  void publish(const T &Message) const {
    for (const Subscriber &Recipient : this->Subscribers)
      Recipient.Receiver->post(
          [Handler = Recipient.Handler, Message] { Handler(Message); });
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
