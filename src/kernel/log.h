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

/** Context of a log record; empty members are omitted. */
struct LogContext {
  /** Component and action, for example "spread push". */
  std::string Step;

  std::string Peer;
  std::string Version;

  /** Identity of the request. */
  std::string Request;
};

/** One named text or number of an event. Does not own its name and text. */
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

/** Options of the log. */
struct LogOptions {
  LogLevel Level = LogLevel::Info;

  /** Writes each record as one JSON object. */
  bool Json = false;

  /** Writes to standard output instead of standard error. */
  bool ToStandardOutput = false;

  /** Events of one name written per second; others are only counted. */
  uint32_t EventsPerSecond = 50;

  /** As EventsPerSecond, for logSampledEvent(). */
  uint32_t SamplesPerSecond = 5;
};

/** Initializes the log. \pre called before the first record. */
void initLog(const LogOptions &Options);

/** Sets the lowest level that is written. Thread safety: safe. */
void setLogLevel(LogLevel Level);

/**
 * Writes the buffered lines, without blocking on a reader of the log. Must be
 * called periodically and before the process ends. Lines that do not fit into
 * the buffer are dropped; their number is written later. Thread safety: safe.
 */
void flushLog();

/**
 * Records one line, rate limited by its step as an event is by its name.
 * Thread safety: safe.
 */
void logMessage(LogLevel Level, const LogContext &Context,
                const std::string &Text);

/** Records an error, rate limited by its step. Thread safety: safe. */
void logError(LogLevel Level, const Error &Failure);

/**
 * Records an event with its fields. Events of one name are limited to
 * LogOptions::EventsPerSecond; the next one written has the number of those
 * suppressed.
 *
 * \pre \a Event is a literal. Thread safety: safe.
 */
void logEvent(LogLevel Level, const char *Event,
              std::initializer_list<LogField> Fields);

/**
 * Records an event of normal operation, of which a few samples per second
 * suffice (LogOptions::SamplesPerSecond); otherwise as logEvent().
 */
void logSampledEvent(const char *Event, std::initializer_list<LogField> Fields);

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_LOG_H
