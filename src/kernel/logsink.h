#ifndef BLUEBELLBARROW_KERNEL_LOGSINK_H
#define BLUEBELLBARROW_KERNEL_LOGSINK_H

#include <cstdint>
#include <string>
#include <string_view>

namespace bluebellbarrow {

/**
 * Buffers log lines and writes them to a file descriptor without waiting for
 * the process that reads them. Lines that do not fit into the buffer are
 * dropped and counted.
 *
 * Thread safety: none; the Boost.Log sink of the log serializes all calls.
 */
class LogSink {
public:
  /** \pre \a Fd stays open; it is not closed by this object. */
  explicit LogSink(int Fd) : Fd(Fd) {}

  /** Buffers one line, given without its line break. */
  void add(std::string_view Line);

  /** Writes as many buffered bytes as the file descriptor accepts. */
  void flush();

  /** Returns the number of lines dropped since the previous call. */
  uint64_t consumeDroppedCount();

  /** Returns true when enough bytes are buffered for one full write. */
  bool shouldFlush() const;

private:
  bool isWritable() const;

  int Fd;
  std::string Buffer;
  uint64_t DroppedLines = 0;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_LOGSINK_H
