#include "task.h"

#include "log.h"

#include <libwebsockets.h>

#include <algorithm>
#include <pthread.h>

namespace bluebellbarrow {

namespace {

/** Idle time after which the loop looks at its mailbox in any case. */
constexpr int HeaderBytes = 16 * 1024;

/** Seconds an accepted HTTP connection may stay idle. */
constexpr int KeepAliveSeconds = 75;

void forwardLog(int Level, const char *Line) {
  std::string Text(Line);
  while (!Text.empty() && Text.back() == '\n')
    Text.pop_back();
  logRecord(Level == LLL_ERR ? LogLevel::Warning : LogLevel::Debug,
            {.Step = "libwebsockets"}, Text);
}

} // namespace

Task::Task(TaskOptions Options) : Options(std::move(Options)) {
  lws_set_log_level(LLL_ERR | LLL_WARN, forwardLog);
  lws_context_creation_info Info{};
  Info.port = CONTEXT_PORT_NO_LISTEN;
  Info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS;
  Info.fd_limit_per_thread = this->Options.MaxSockets;
  Info.max_http_header_data2 = HeaderBytes;
  Info.max_http_header_pool2 = this->Options.MaxSockets;
  Info.keepalive_timeout = KeepAliveSeconds;
  Info.timeout_secs = KeepAliveSeconds;
  this->Context = lws_create_context(&Info);
}

Task::~Task() {
  this->stop();
  this->join();
  this->Posted.clear();
  lws_context_destroy(this->Context);
}

void Task::start() {
  this->Thread = std::thread([this] { this->run(); });
  const std::string Name = this->Options.Name.substr(0, 15);
  pthread_setname_np(this->Thread.native_handle(), Name.c_str());
}

void Task::run() {
  while (this->runPosted())
    lws_service(this->Context, 0);
}

void Task::stop() {
  this->Stopping = true;
  lws_cancel_service(this->Context);
}

void Task::join() {
  if (this->Thread.joinable())
    this->Thread.join();
}

void Task::post(std::function<void()> Work) {
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    this->Posted.push_back(std::move(Work));
  }
  lws_cancel_service(this->Context);
}

bool Task::runPosted() {
  const bool Last = this->Stopping;
  std::vector<std::function<void()>> Work;
  {
    const std::lock_guard<std::mutex> Lock(this->Mutex);
    Work.swap(this->Posted);
  }
  for (const auto &Call : Work)
    Call();
  return !Last;
}

/** The library calls back with the address of the list entry. */
struct Timer::State {
  lws_sorted_usec_list_t Entry{};
  Task *Owner = nullptr;
  std::function<void()> Callback;

  static void fire(lws_sorted_usec_list_t *Entry) {
    reinterpret_cast<State *>(Entry)->Callback();
  }
};

Timer::Timer(Task &Owner, std::function<void()> Callback)
    : Impl(std::make_unique<State>()) {
  this->Impl->Owner = &Owner;
  this->Impl->Callback = std::move(Callback);
}

Timer::~Timer() { this->cancel(); }

void Timer::start(Duration Delay) {
  const auto Micros =
      std::max<lws_usec_t>(1, static_cast<lws_usec_t>(toMicroseconds(Delay)));
  lws_sul_schedule(this->Impl->Owner->context(), 0, &this->Impl->Entry,
                   &State::fire, Micros);
}

void Timer::cancel() { lws_sul_cancel(&this->Impl->Entry); }

} // namespace bluebellbarrow
