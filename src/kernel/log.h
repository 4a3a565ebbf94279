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

  /** Id of the request. */
  std::string Request;
};

/**
 * A field of an event: a name with a text or a number. Does not own its name
 * and text.
 */
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

  /**
   * Maximum number of events of one name written per second. The others are
   * counted, but not written.
   */
  uint32_t EventsPerSecond = 50;

  /** The same limit for the events of logSampledEvent(). */
  uint32_t SamplesPerSecond = 5;
};

/** Initializes the log. \pre called before the first record. */
void initLog(const LogOptions &Options);

/** Sets the lowest level that is written. Thread safety: safe. */
void setLogLevel(LogLevel Level);

/**
 * Writes buffered lines, as many as the output accepts without blocking. Must
 * be called periodically and before the process ends. Lines that do not fit
 * into the buffer are dropped; their number is written later. Thread safety:
 * safe.
 */
void flushLog();

/**
 * Records one line. Lines with the same LogContext::Step are limited to
 * LogOptions::EventsPerSecond, as events of one name are by logEvent(). Thread
 * safety: safe.
 */
void logMessage(LogLevel Level, const LogContext &Context,
                const std::string &Text);

/**
 * Records an error, rate limited by Error::Step as in logMessage(). Thread
 * safety: safe.
 */
void logError(LogLevel Level, const Error &Failure);

/**
 * Records an event with its fields. Events of one name are limited to
 * LogOptions::EventsPerSecond; the next one written has a field with the
 * number of those suppressed.
 *
 * \pre \a Event is a literal. Thread safety: safe.
 */
void logEvent(LogLevel Level, const char *Event,
              std::initializer_list<LogField> Fields);

/**
 * Records an event of normal operation at level Info. Differs from logEvent()
 * only in its limit, LogOptions::SamplesPerSecond: a few samples suffice.
 */
void logSampledEvent(const char *Event, std::initializer_list<LogField> Fields);

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_LOG_H
