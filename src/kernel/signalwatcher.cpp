#include "signalwatcher.h"

#include "descriptor.h"
#include "task.h"

#include <csignal>
#include <sys/signalfd.h>
#include <unistd.h>

namespace bluebellbarrow {

namespace {

sigset_t toSignalSet(std::initializer_list<int> Signals) {
  sigset_t Set;
  sigemptyset(&Set);
  for (const int Signal : Signals)
    sigaddset(&Set, Signal);
  return Set;
}

} // namespace

void SignalWatcher::block(std::initializer_list<int> Signals) {
  const sigset_t Set = toSignalSet(Signals);
  pthread_sigmask(SIG_BLOCK, &Set, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

SignalWatcher::SignalWatcher(Task &Owner, std::initializer_list<int> Signals,
                             std::function<void(int)> OnSignal)
    : OnSignal(std::move(OnSignal)) {
  const sigset_t Set = toSignalSet(Signals);
  this->SignalDescriptor = std::make_unique<Descriptor>(
      Owner, signalfd(-1, &Set, SFD_NONBLOCK | SFD_CLOEXEC),
      DescriptorEvents{.Readable = [this] { this->onReadable(); },
                       .Writable = nullptr,
                       .HungUp = nullptr});
}

SignalWatcher::~SignalWatcher() = default;

void SignalWatcher::onReadable() {
  signalfd_siginfo Info{};
  while (read(this->SignalDescriptor->fd(), &Info, sizeof(Info)) ==
         static_cast<ssize_t>(sizeof(Info)))
    this->OnSignal(static_cast<int>(Info.ssi_signo));
}

} // namespace bluebellbarrow
