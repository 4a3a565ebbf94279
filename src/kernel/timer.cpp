#include "timer.h"

#include "descriptor.h"
#include "task.h"

#include <algorithm>
#include <sys/timerfd.h>
#include <unistd.h>

namespace bluebellbarrow {

namespace {

/** Converts \a Delay, at least 1 ns, since zero would disarm a timerfd. */
timespec toTimespec(Duration Delay) {
  constexpr int64_t NanosPerSecond = 1000000000;
  const int64_t Nanos =
      std::max<int64_t>(1, std::chrono::nanoseconds(Delay).count());
  return {.tv_sec = Nanos / NanosPerSecond, .tv_nsec = Nanos % NanosPerSecond};
}

} // namespace

TimerQueue::TimerQueue(Task &Owner)
    : TimerDescriptor(std::make_unique<Descriptor>(
          Owner, timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC),
          DescriptorEvents{.Readable = [this] { this->fireExpired(); },
                           .Writable = nullptr,
                           .HungUp = nullptr})) {}

TimerQueue::~TimerQueue() = default;

TimerQueue::Id TimerQueue::add(TimePoint Due, std::function<void()> Callback) {
  const Id TimerId(Due, ++this->LastSequence);
  this->Pending.emplace(TimerId, std::move(Callback));
  this->arm();
  return TimerId;
}

void TimerQueue::remove(const Id &TimerId) { this->Pending.erase(TimerId); }

void TimerQueue::arm() {
  if (this->Pending.empty() ||
      this->Pending.begin()->first.first >= this->ArmedFor)
    return;
  this->ArmedFor = this->Pending.begin()->first.first;
  itimerspec Setting{};
  Setting.it_value = toTimespec(this->ArmedFor - Task::now());
  timerfd_settime(this->TimerDescriptor->fd(), 0, &Setting, nullptr);
}

void TimerQueue::fireExpired() {
  uint64_t Expirations = 0;
  if (read(this->TimerDescriptor->fd(), &Expirations, sizeof(Expirations)) < 0)
    return;
  this->ArmedFor = TimePoint::max();
  const TimePoint Now = Task::now();
  while (!this->Pending.empty() && this->Pending.begin()->first.first <= Now) {
    const std::function<void()> Callback =
        std::move(this->Pending.begin()->second);
    this->Pending.erase(this->Pending.begin());
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
  this->CurrentId = this->Queue.add(Task::now() + Delay, [this] {
    this->Running = false;
    // The callback may destroy this timer.
    const std::function<void()> Copy = this->Callback;
    Copy();
  });
}

void Timer::cancel() {
  if (this->Running)
    this->Queue.remove(this->CurrentId);
  this->Running = false;
}

} // namespace bluebellbarrow
