#ifndef BLUEBELLBARROW_KERNEL_LOG_H
#define BLUEBELLBARROW_KERNEL_LOG_H

#include "error.h"

#include <cstdint>
#include <string>

namespace bluebellbarrow {

enum class LogLevel { Debug, Info, Warning, Error };

/** What one log record is about; empty members are left out. */
struct LogContext {
  /** Component and action, for example "spread push". */
  std::string Step;

  std::string Peer;
  std::string Version;
  uint64_t Request = 0;
};

/** How records are written. */
struct LogOptions {
  LogLevel Level = LogLevel::Info;

  /** Writes each record as one JSON object. */
  bool Json = false;
};

/** Sends records to standard error. \pre called before the first record. */
void initLog(const LogOptions &Options);

/** Writes one record as one line. Thread safety: safe. */
void logRecord(LogLevel Level, const LogContext &Context,
               const std::string &Text);

/** Writes \a Failure as one record. Thread safety: safe. */
void logError(LogLevel Level, const Error &Failure);

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_LOG_H
