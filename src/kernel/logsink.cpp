#include "logsink.h"

#include <algorithm>
#include <cerrno>
#include <poll.h>
#include <unistd.h>

namespace bluebellbarrow {

namespace {

/** Bytes that a pipe takes whole when it is writable at all (PIPE_BUF). */
constexpr size_t WriteBytes = 4096;

/** Bytes that are held for a slow reader. */
constexpr size_t MaxHeldBytes = size_t{128} * 1024;

} // namespace

void LogSink::add(std::string_view Line) {
  if (this->Held.size() + Line.size() + 1 > MaxHeldBytes) {
    this->Dropped += 1;
    return;
  }
  this->Held += Line;
  this->Held += '\n';
}

bool LogSink::full() const { return this->Held.size() >= WriteBytes; }

bool LogSink::writable() const {
  pollfd Poll{.fd = this->Descriptor, .events = POLLOUT, .revents = 0};
  return poll(&Poll, 1, 0) > 0 && (Poll.revents & POLLOUT) != 0;
}

void LogSink::flush() {
  size_t Written = 0;
  while (Written < this->Held.size() && this->writable()) {
    const size_t Length = std::min(WriteBytes, this->Held.size() - Written);
    const ssize_t Taken =
        write(this->Descriptor, this->Held.data() + Written, Length);
    if (Taken <= 0)
      break;
    Written += static_cast<size_t>(Taken);
  }
  if (Written == this->Held.size())
    this->Held.clear();
  else
    this->Held.erase(0, Written);
}

uint64_t LogSink::takeDropped() {
  const uint64_t Count = this->Dropped;
  this->Dropped = 0;
  return Count;
}

} // namespace bluebellbarrow
