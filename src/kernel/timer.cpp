#include "timer.h"

#include "descriptor.h"
#include "task.h"

#include <algorithm>
#include <sys/timerfd.h>
#include <unistd.h>

namespace bluebellbarrow {

namespace {

timespec toTimespec(Duration Span) {
  constexpr int64_t NanosPerSecond = 1000000000;
  const int64_t Nanos =
      std::max<int64_t>(1, std::chrono::nanoseconds(Span).count());
  return {.tv_sec = Nanos / NanosPerSecond, .tv_nsec = Nanos % NanosPerSecond};
}

} // namespace

TimerQueue::TimerQueue(Task &Owner)
    : Alarm(std::make_unique<Descriptor>(
          Owner, timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC),
          DescriptorEvents{.Readable = [this] { this->fire(); },
                           .Writable = nullptr,
                           .HungUp = nullptr})) {}

TimerQueue::~TimerQueue() = default;

TimerQueue::Id TimerQueue::add(TimePoint Due, std::function<void()> Callback) {
  const Id Timer(Due, ++this->LastNumber);
  this->Waiting.emplace(Timer, std::move(Callback));
  this->arm();
  return Timer;
}

void TimerQueue::remove(const Id &Timer) { this->Waiting.erase(Timer); }

void TimerQueue::arm() {
  if (this->Waiting.empty() ||
      this->Waiting.begin()->first.first >= this->Armed)
    return;
  this->Armed = this->Waiting.begin()->first.first;
  itimerspec Setting{};
  Setting.it_value = toTimespec(this->Armed - Task::now());
  timerfd_settime(this->Alarm->number(), 0, &Setting, nullptr);
}

void TimerQueue::fire() {
  uint64_t Expirations = 0;
  if (read(this->Alarm->number(), &Expirations, sizeof(Expirations)) < 0)
    return;
  this->Armed = TimePoint::max();
  const TimePoint Now = Task::now();
  while (!this->Waiting.empty() && this->Waiting.begin()->first.first <= Now) {
    const std::function<void()> Callback =
        std::move(this->Waiting.begin()->second);
    this->Waiting.erase(this->Waiting.begin());
    Callback();
  }
  this->arm();
}

Timer::Timer(Task &Owner, std::function<void()> Callback)
    : Queue(Owner.timers()), Callback(std::move(Callback)) {}

Timer::~Timer() { this->cancel(); }

void Timer::start(Duration Delay) {
  this->cancel();
  this->Running = true;
  this->Current = this->Queue.add(Task::now() + Delay, [this] {
    this->Running = false;
    const std::function<void()> Copy = this->Callback;
    Copy();
  });
}

void Timer::cancel() {
  if (this->Running)
    this->Queue.remove(this->Current);
  this->Running = false;
}

} // namespace bluebellbarrow
