#include "task.h"

#include "descriptor.h"
#include "log.h"

#include <libwebsockets.h>

#include <algorithm>
#include <pthread.h>

namespace bluebellbarrow {

namespace {

/** Forwards log lines of libwebsockets. */
void forwardLog(int Level, const char *Line) {
  std::string Text(Line);
  while (!Text.empty() && Text.back() == '\n')
    Text.pop_back();
  logMessage(Level == LLL_ERR ? LogLevel::Warning : LogLevel::Debug,
             {.Step = "libwebsockets"}, Text);
}

} // namespace

Task::Task(TaskOptions Options) : Options(std::move(Options)) {
  lws_set_log_level(LLL_ERR | LLL_WARN, forwardLog);
  lws_context_creation_info Info{};
  Info.port = CONTEXT_PORT_NO_LISTEN;
  Info.options = LWS_SERVER_OPTION_EXPLICIT_VHOSTS;
  Info.fd_limit_per_thread = this->Options.MaxSockets;
  this->Context = lws_create_context(&Info);
  Info.vhost_name = "descriptors";
  Info.protocols = Descriptor::protocols();
  this->Vhost = lws_create_vhost(this->Context, &Info);
  this->Timers = std::make_unique<TimerQueue>(*this);
}

Task::~Task() {
  this->stop();
  this->join();
  this->PostedWork.clear();
  this->Timers.reset();
  if (this->Context != nullptr)
    lws_context_destroy(this->Context);
}

void Task::start() {
  this->Thread = std::thread([this] { this->run(); });
  const std::string Name = this->Options.Name.substr(0, 15);
  pthread_setname_np(this->Thread.native_handle(), Name.c_str());
}

void Task::run() {
  this->LoopThreadId = std::this_thread::get_id();
  while (this->runPosted())
    lws_service(this->Context, 0);
  // Closes the sockets while their owners still exist. Owners are no longer
  // called once Stopped is set.
  this->Stopped = true;
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  lws_context_destroy(this->Context);
  this->Context = nullptr;
}

void Task::stop() {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  this->Stopping = true;
  if (!this->Stopped)
    lws_cancel_service(this->Context);
}

void Task::join() {
  if (this->Thread.joinable())
    this->Thread.join();
}

void Task::post(std::function<void()> Work) {
  const std::lock_guard<std::mutex> Lock(this->Mutex);
  if (this->Stopped)
    return;
  this->PostedWork.push_back(std::move(Work));
  // The loop runs posted work after each event, so its own thread need not
  // wake it.
  if (std::this_thread::get_id() != this->LoopThreadId)
    lws_cancel_service(this->Context);
}

bool Task::runPosted() {
  while (true) {
    const bool IsLastRun = this->Stopping;
    std::vector<std::function<void()>> Work;
    {
      const std::lock_guard<std::mutex> Lock(this->Mutex);
      Work.swap(this->PostedWork);
    }
    for (const auto &Function : Work)
      Function();
    if (IsLastRun || Work.empty())
      return !IsLastRun;
  }
}

} // namespace bluebellbarrow
