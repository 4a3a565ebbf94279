#include "timer.h"

#include "task.h"

#include <libwebsockets.h>

#include <algorithm>
#include <array>
#include <sys/timerfd.h>
#include <unistd.h>

namespace bluebellbarrow {

namespace {

int onEvent(lws *Wsi, lws_callback_reasons Reason, void *, void *, size_t) {
  if (Reason != LWS_CALLBACK_RAW_RX_FILE)
    return 0;
  auto *Queue = static_cast<TimerQueue *>(lws_vhost_user(lws_get_vhost(Wsi)));
  if (Queue != nullptr)
    Queue->fire();
  return 0;
}

const std::array<lws_protocols, 2> Protocols = {{
    {"timers", onEvent, 0, 0, 0, nullptr, 0},
    {nullptr, nullptr, 0, 0, 0, nullptr, 0},
}};

timespec toTimespec(TimePoint Time) {
  constexpr int64_t NanosPerSecond = 1000000000;
  const int64_t Nanos = std::max<int64_t>(
      1, std::chrono::nanoseconds(Time.time_since_epoch()).count());
  return {.tv_sec = Nanos / NanosPerSecond, .tv_nsec = Nanos % NanosPerSecond};
}

} // namespace

TimerQueue::TimerQueue(Task &Owner)
    : Owner(Owner),
      Descriptor(timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC)) {
  lws_context_creation_info Info{};
  Info.port = CONTEXT_PORT_NO_LISTEN;
  Info.vhost_name = "timers";
  Info.protocols = Protocols.data();
  Info.user = this;
  this->Vhost = lws_create_vhost(Owner.context(), &Info);
  lws_sock_file_fd_type File{};
  File.filefd = this->Descriptor;
  lws_adopt_descriptor_vhost(this->Vhost, LWS_ADOPT_RAW_FILE_DESC, File,
                             "timers", nullptr);
}

TimerQueue::~TimerQueue() {
  if (!this->Owner.closed())
    lws_vhost_destroy(this->Vhost);
}

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
  Setting.it_value = toTimespec(this->Armed);
  timerfd_settime(this->Descriptor, TFD_TIMER_ABSTIME, &Setting, nullptr);
}

void TimerQueue::fire() {
  uint64_t Expirations = 0;
  if (read(this->Descriptor, &Expirations, sizeof(Expirations)) < 0)
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
