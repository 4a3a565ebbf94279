#include "descriptor.h"

#include "log.h"
#include "task.h"

#include <libwebsockets.h>

#include <array>
#include <unistd.h>

namespace bluebellbarrow {

struct Descriptor::Binding {
  Task &Owner;
  DescriptorEvents Events;

  /** False once the descriptor has been destroyed. */
  bool Alive = true;

  /** The library's record; null once the descriptor is closed. */
  lws *Wsi = nullptr;

  /** Handlers of this descriptor that are being called. */
  int RunningHandlers = 0;

  /** Calls \a Handler; returns what the library expects: -1 to close. */
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

using BindingPtr = std::shared_ptr<Descriptor::Binding>;

int onEvent(lws *Wsi, lws_callback_reasons Reason, void *, void *, size_t) {
  auto *Known = static_cast<BindingPtr *>(lws_get_opaque_user_data(Wsi));
  if (Known == nullptr)
    return 0;
  const BindingPtr Bound = *Known;
  const bool Ended = Bound->Owner.hasStopped();
  switch (Reason) {
  case LWS_CALLBACK_RAW_RX_FILE:
    return Bound->call(Bound->Events.Readable);
  case LWS_CALLBACK_RAW_WRITEABLE_FILE:
    return Bound->call(Bound->Events.Writable);
  case LWS_CALLBACK_RAW_CLOSE_FILE:
    lws_set_opaque_user_data(Wsi, nullptr);
    delete Known;
    Bound->Wsi = nullptr;
    return Ended ? 0 : Bound->call(Bound->Events.HungUp);
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

Descriptor::Descriptor(Task &Owner, int Number, DescriptorEvents Events)
    : Bound(std::make_shared<Binding>(
          Binding{.Owner = Owner, .Events = std::move(Events)})),
      Fd(Number) {
  lws_sock_file_fd_type File{};
  File.filefd = Number;
  lws *Wsi = lws_adopt_descriptor_vhost(Owner.vhost(), LWS_ADOPT_RAW_FILE_DESC,
                                        File, Protocols[0].name, nullptr);
  if (Wsi == nullptr) {
    logError(LogLevel::Error, makeError(Errc::TooLarge, "watch descriptor", "",
                                        "the event loop is full"));
    close(Number);
    return;
  }
  this->Bound->Wsi = Wsi;
  lws_set_opaque_user_data(Wsi, new BindingPtr(this->Bound));
}

Descriptor::~Descriptor() {
  this->Bound->Alive = false;
  // Within a handler, the handler's result makes the library close it.
  if (this->isOpen() && this->Bound->RunningHandlers == 0 &&
      !this->Bound->Owner.hasStopped())
    lws_set_timeout(this->Bound->Wsi, PENDING_TIMEOUT_USER_OK,
                    LWS_TO_KILL_SYNC);
}

bool Descriptor::isOpen() const { return this->Bound->Wsi != nullptr; }

void Descriptor::notifyWhenWritable() {
  if (!this->isOpen())
    return;
  if (this->Bound->RunningHandlers == 0) {
    lws_callback_on_writable(this->Bound->Wsi);
    return;
  }
  // The library drops a request that is made within its call of a handler.
  this->Bound->Owner.post([Waiting = this->Bound] {
    if (Waiting->Alive && Waiting->Wsi != nullptr)
      lws_callback_on_writable(Waiting->Wsi);
  });
}

void Descriptor::setReadEnabled(bool On) {
  if (this->isOpen())
    lws_rx_flow_control(this->Bound->Wsi, On ? 1 : 0);
}

} // namespace bluebellbarrow
