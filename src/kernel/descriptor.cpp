#include "descriptor.h"

#include "log.h"
#include "task.h"

#include <libwebsockets.h>

#include <array>
#include <unistd.h>

namespace bluebellbarrow {

struct Descriptor::CallbackState {
  Task &Owner;
  DescriptorEvents Events;

  /** False once the descriptor has been destroyed. */
  bool Alive = true;

  /** Handle of libwebsockets; null once the descriptor is closed. */
  lws *Wsi = nullptr;

  /** Number of handlers of this descriptor that are running. */
  int RunningHandlers = 0;

  /** Calls \a Handler; returns -1 to make libwebsockets close, else 0. */
  int call(const std::function<void()> &Handler) {
    if (!this->Alive)
      return -1;
    this->RunningHandlers += 1;
    if (Handler)
      Handler();
    this->RunningHandlers -= 1;
    return this->Alive ? 0 : -1;
  }
};

namespace {

using CallbackStatePtr = std::shared_ptr<Descriptor::CallbackState>;

int onEvent(lws *Wsi, lws_callback_reasons Reason, void *, void *, size_t) {
  auto *UserData =
      static_cast<CallbackStatePtr *>(lws_get_opaque_user_data(Wsi));
  if (UserData == nullptr)
    return 0;
  const CallbackStatePtr SharedState = *UserData;
  const bool TaskStopped = SharedState->Owner.hasStopped();
  switch (Reason) {
  case LWS_CALLBACK_RAW_RX_FILE:
    return SharedState->call(SharedState->Events.Readable);
  case LWS_CALLBACK_RAW_WRITEABLE_FILE:
    return SharedState->call(SharedState->Events.Writable);
  case LWS_CALLBACK_RAW_CLOSE_FILE:
    lws_set_opaque_user_data(Wsi, nullptr);
    delete UserData;
    SharedState->Wsi = nullptr;
    return TaskStopped ? 0 : SharedState->call(SharedState->Events.HungUp);
  default:
    return 0;
  }
}

const std::array<lws_protocols, 2> Protocols = {{
    {"descriptors", onEvent, 0, 0, 0, nullptr, 0},
    {nullptr, nullptr, 0, 0, 0, nullptr, 0},
}};

} // namespace

const lws_protocols *Descriptor::protocols() { return Protocols.data(); }

Descriptor::Descriptor(Task &Owner, int Fd, DescriptorEvents Events)
    : SharedState(std::make_shared<CallbackState>(
          CallbackState{.Owner = Owner, .Events = std::move(Events)})),
      Fd(Fd) {
  lws_sock_file_fd_type File{};
  File.filefd = Fd;
  lws *Wsi = lws_adopt_descriptor_vhost(Owner.vhost(), LWS_ADOPT_RAW_FILE_DESC,
                                        File, Protocols[0].name, nullptr);
  if (Wsi == nullptr) {
    logError(LogLevel::Error,
             makeError(Errc::TooLarge, "watch descriptor", "",
                       "too many descriptors in the event loop"));
    close(Fd);
    return;
  }
  this->SharedState->Wsi = Wsi;
  lws_set_opaque_user_data(Wsi, new CallbackStatePtr(this->SharedState));
}

Descriptor::~Descriptor() {
  this->SharedState->Alive = false;
  // Within a handler, call() returns -1 and libwebsockets closes the
  // descriptor.
  if (this->isOpen() && this->SharedState->RunningHandlers == 0 &&
      !this->SharedState->Owner.hasStopped())
    lws_set_timeout(this->SharedState->Wsi, PENDING_TIMEOUT_USER_OK,
                    LWS_TO_KILL_SYNC);
}

bool Descriptor::isOpen() const { return this->SharedState->Wsi != nullptr; }

void Descriptor::notifyWhenWritable() {
  if (!this->isOpen())
    return;
  if (this->SharedState->RunningHandlers == 0) {
    lws_callback_on_writable(this->SharedState->Wsi);
    return;
  }
  // libwebsockets drops a request that is made within a handler.
  this->SharedState->Owner.post([SharedState = this->SharedState] {
    if (SharedState->Alive && SharedState->Wsi != nullptr)
      lws_callback_on_writable(SharedState->Wsi);
  });
}

void Descriptor::setReadEnabled(bool Enabled) {
  if (this->isOpen())
    lws_rx_flow_control(this->SharedState->Wsi, Enabled ? 1 : 0);
}

} // namespace bluebellbarrow
