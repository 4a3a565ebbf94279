#ifndef BLUEBELLBARROW_KERNEL_LOG_H
#define BLUEBELLBARROW_KERNEL_LOG_H

#include "error.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>

namespace bluebellbarrow {

enum class LogLevel { Debug, Info, Warning, Error };

/** What one log record is about; empty members are left out. */
struct LogContext {
  /** Component and action, for example "spread push". */
  std::string Step;

  std::string Peer;
  std::string Version;

  /** Identity of the request that the record is about. */
  std::string Request;
};

/** One named value of an event; refers to its text, does not hold it. */
class LogField {
public:
  LogField(const char *Name, std::string_view Text) : Name(Name), Text(Text) {}

  LogField(const char *Name, const char *Text) : Name(Name), Text(Text) {}

  LogField(const char *Name, const std::string &Text)
      : Name(Name), Text(Text) {}

  template <typename Number>

  requires std::is_arithmetic_v<Number> LogField(const char *Name, Number Value)
      : Name(Name), Value(static_cast<double>(Value)), IsNumber(true) {}

  const char *name() const { return this->Name; }

  std::string_view text() const { return this->Text; }

  double value() const { return this->Value; }

  bool isNumber() const { return this->IsNumber; }

private:
  const char *Name;
  std::string_view Text;
  double Value = 0;
  bool IsNumber = false;
};

/** How records are written. */
struct LogOptions {
  LogLevel Level = LogLevel::Info;

  /** Writes each record as one JSON object. */
  bool Json = false;

  /** Writes to standard output instead of standard error. */
  bool ToStandardOutput = false;

  /** Events of one kind that are written in a second; more are counted. */
  uint32_t EventsPerSecond = 50;

  /** The same for samples of what goes well. */
  uint32_t SamplesPerSecond = 5;
};

/** Opens the log. \pre called before the first record. */
void initLog(const LogOptions &Options);

/** Changes the lowest level that is written. Thread safety: safe. */
void setLogLevel(LogLevel Level);

/**
 * Writes what was recorded and is still held. To be called from time to time
 * and before the process ends; never waits for a reader of the log. Lines
 * that find no room are dropped, and their number is written later.
 * Thread safety: safe.
 */
void flushLog();

/**
 * Records one line. Lines of one step over the rate are counted, as those of
 * an event are. Thread safety: safe.
 */
void logMessage(LogLevel Level, const LogContext &Context,
                const std::string &Text);

/** Records \a Failure. Thread safety: safe. */
void logError(LogLevel Level, const Error &Failure);

/**
 * Records an event with its values. Events of one name over the rate are
 * counted; the next one that is written says how many were left out.
 *
 * \pre \a Event is a literal. Thread safety: safe.
 */
void logEvent(LogLevel Level, const char *Event,
              std::initializer_list<LogField> Fields);

/**
 * Records an event that is usual, so that a few of them in a second tell
 * enough; otherwise as logEvent().
 */
void logSampledEvent(const char *Event, std::initializer_list<LogField> Fields);

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_LOG_H
