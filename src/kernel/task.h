#ifndef BLUEBELLBARROW_KERNEL_TASK_H
#define BLUEBELLBARROW_KERNEL_TASK_H

#include "clock.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

struct lws_context;

namespace bluebellbarrow {

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
 * Thread safety: post(), stop() and isCurrent() may be called from any thread,
 * everything else from the thread that runs the loop or before it runs.
 */
class Task {
public:
  explicit Task(TaskOptions Options);
  ~Task();

  Task(const Task &) = delete;
  Task &operator=(const Task &) = delete;

  /** Returns the event loop's context. */
  lws_context *context() const { return this->Context; }

  /** Returns the current time. */
  static TimePoint now() { return std::chrono::steady_clock::now(); }

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
  std::thread Thread;
  std::mutex Mutex;
  std::vector<std::function<void()>> Posted;
  std::atomic<bool> Stopping = false;
};

/**
 * Calls a function on a task's thread after a delay.
 *
 * Thread safety: none; owned by code that runs on the task.
 */
class Timer {
public:
  Timer(Task &Owner, std::function<void()> Callback);
  ~Timer();

  Timer(const Timer &) = delete;
  Timer &operator=(const Timer &) = delete;

  /** Starts or restarts the timer. */
  void start(Duration Delay);

  void cancel();

private:
  struct State;
  std::unique_ptr<State> Impl;
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
