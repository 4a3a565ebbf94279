#include "logsink.h"

#include <algorithm>
#include <cerrno>
#include <poll.h>
#include <unistd.h>

namespace bluebellbarrow {

namespace {

/** Bytes per write. A writable pipe accepts PIPE_BUF without blocking. */
constexpr size_t WriteBytes = 4096;

/** Bytes buffered for a slow reader. */
constexpr size_t MaxBufferedBytes = size_t{128} * 1024;

} // namespace

void LogSink::add(std::string_view Line) {
  if (this->Buffer.size() + Line.size() + 1 > MaxBufferedBytes) {
    this->DroppedLines += 1;
    return;
  }
  this->Buffer += Line;
  this->Buffer += '\n';
}

bool LogSink::shouldFlush() const { return this->Buffer.size() >= WriteBytes; }

bool LogSink::isWritable() const {
  pollfd Poll{.fd = this->Fd, .events = POLLOUT, .revents = 0};
  return poll(&Poll, 1, 0) > 0 && (Poll.revents & POLLOUT) != 0;
}

void LogSink::flush() {
  size_t Written = 0;
  while (Written < this->Buffer.size() && this->isWritable()) {
    const size_t Length = std::min(WriteBytes, this->Buffer.size() - Written);
    const ssize_t Accepted =
        write(this->Fd, this->Buffer.data() + Written, Length);
    if (Accepted <= 0)
      break;
    Written += static_cast<size_t>(Accepted);
  }
  if (Written == this->Buffer.size())
    this->Buffer.clear();
  else
    this->Buffer.erase(0, Written);
}

uint64_t LogSink::consumeDroppedCount() {
  const uint64_t Count = this->DroppedLines;
  this->DroppedLines = 0;
  return Count;
}

} // namespace bluebellbarrow
