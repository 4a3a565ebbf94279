#ifndef BLUEBELLBARROW_KERNEL_LOGSINK_H
#define BLUEBELLBARROW_KERNEL_LOGSINK_H

#include <cstdint>
#include <string>
#include <string_view>

namespace bluebellbarrow {

/**
 * Holds log lines and writes them to a descriptor without ever waiting for
 * its reader. Lines that find no room are dropped and counted.
 *
 * Thread safety: none; guarded by the log's own lock.
 */
class LogSink {
public:
  explicit LogSink(int Descriptor) : Fd(Descriptor) {}

  /** Takes one line, without its end. */
  void add(std::string_view Line);

  /** Writes as much as the reader takes at once. */
  void flush();

  /** Returns the lines dropped since the last call. */
  uint64_t consumeDroppedCount();

  /** Returns true when enough is held to be worth a write. */
  bool shouldFlush() const;

private:
  bool isWritable() const;

  int Fd;
  std::string Buffer;
  uint64_t DroppedLines = 0;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_LOGSINK_H
