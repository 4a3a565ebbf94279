#include "log.h"

#include "clock.h"
#include "logsink.h"
#include "ratelimiter.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/smart_ptr/make_shared.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <ctime>
#include <map>
#include <mutex>
#include <optional>
#include <unistd.h>

namespace bluebellbarrow {

namespace {

namespace logging = boost::log; // NOLINT: customary alias

constexpr std::array<const char *, 4> LevelNames = {"debug", "info", "warning",
                                                    "error"};

using Logger = logging::sources::severity_logger_mt<int>;

/** Boost.Log backend that passes formatted lines to a LogSink. */
class LineBackend : public logging::sinks::basic_sink_backend<
                        logging::sinks::combine_requirements<
                            logging::sinks::synchronized_feeding,
                            logging::sinks::flushing>::type> {
public:
  explicit LineBackend(int Fd) : Output(Fd) {}

  void consume(const logging::record_view &Record) {
    const auto Text = Record[logging::expressions::smessage];
    if (!Text)
      return;
    if (const uint64_t Dropped = this->Output.consumeDroppedCount())
      this->Output.add("{\"event\":\"log lines dropped\",\"count\":" +
                       std::to_string(Dropped) + "}");
    this->Output.add(Text.get());
    if (this->Output.shouldFlush())
      this->Output.flush();
  }

  void flush() { this->Output.flush(); }

private:
  LogSink Output;
};

/** State of the log, one per process. */
struct LogState {
  LogOptions Options;
  std::atomic<int> MinLevel = static_cast<int>(LogLevel::Info);
  Logger Source;
  boost::shared_ptr<logging::sinks::synchronous_sink<LineBackend>> Sink;
  std::mutex Mutex;

  /** Rate limiters by event name or step; guarded by Mutex. */
  std::map<std::string, RateLimiter, std::less<>> Limiters;
};

LogState &state() {
  static LogState Instance;
  return Instance;
}

bool enabled(LogLevel Level) {
  return static_cast<int>(Level) >= state().MinLevel;
}

/** Returns the current UTC time in RFC 3339 format, with microseconds. */
std::string timestamp() {
  const auto Now = std::chrono::system_clock::now().time_since_epoch();
  const auto Micros =
      std::chrono::duration_cast<std::chrono::microseconds>(Now).count();
  constexpr int64_t MicrosPerSecond = 1000000;
  const std::time_t Seconds = Micros / MicrosPerSecond;
  std::tm Parts{};
  gmtime_r(&Seconds, &Parts);
  std::array<char, 40> Text{};
  const size_t Length =
      std::strftime(Text.data(), Text.size(), "%Y-%m-%dT%H:%M:%S", &Parts);
  std::snprintf(Text.data() + Length, Text.size() - Length, ".%06dZ",
                static_cast<int>(Micros % MicrosPerSecond));
  return Text.data();
}

/**
 * Appends \a Text, escaped for a JSON string. Each byte outside printable ASCII
 * becomes one escape sequence.
 */
void appendEscaped(std::string &Out, std::string_view Text) {
  for (const char Character : Text) {
    const auto Byte = static_cast<unsigned char>(Character);
    if (Character == '"' || Character == '\\') {
      Out += '\\';
      Out += Character;
    } else if (Byte < 0x20 || Byte >= 0x7f) {
      std::array<char, 8> Escape{};
      std::snprintf(Escape.data(), Escape.size(), "\\u%04x", Byte);
      Out += Escape.data();
    } else {
      Out += Character;
    }
  }
}

void appendNumber(std::string &Out, double Value) {
  std::array<char, 32> Text{};
  const bool IsInteger = std::floor(Value) == Value && std::abs(Value) < 1e15;
  std::snprintf(Text.data(), Text.size(), IsInteger ? "%.0f" : "%.6g", Value);
  Out += Text.data();
}

/** Formats one line, as JSON or as plain text. */
class LineBuilder {
public:
  LineBuilder(LogLevel Level, bool Json) : Json(Json) {
    const char *Name = LevelNames.at(static_cast<size_t>(Level));
    if (Json)
      this->Line =
          "{\"time\":\"" + timestamp() + "\",\"level\":\"" + Name + "\"";
    else
      this->Line = timestamp() + " " + Name;
  }

  void add(const LogField &Field) {
    this->Line += this->Json ? ",\"" : " ";
    this->Line += Field.name();
    this->Line += this->Json ? "\":" : "=";
    if (Field.isNumber()) {
      appendNumber(this->Line, Field.value());
      return;
    }
    this->Line += '"';
    appendEscaped(this->Line, Field.text());
    this->Line += '"';
  }

  std::string finish() {
    if (this->Json)
      this->Line += '}';
    return std::move(this->Line);
  }

private:
  std::string Line;
  bool Json;
};

void writeLine(LogLevel Level, const std::string &Line) {
  BOOST_LOG_SEV(state().Source, static_cast<int>(Level)) << Line;
  if (Level >= LogLevel::Warning)
    flushLog();
}

/**
 * Applies the rate limit of the event or step \a Name. Returns how many of its
 * lines were suppressed since the last one written, or nothing when the current
 * one is suppressed too.
 */
std::optional<uint64_t> checkRateLimit(std::string_view Name,
                                       uint32_t PerSecond) {
  LogState &Log = state();
  const TimePoint Now = Clock::now();
  const std::lock_guard<std::mutex> Lock(Log.Mutex);
  auto Found = Log.Limiters.find(Name);
  if (Found == Log.Limiters.end())
    Found = Log.Limiters.try_emplace(std::string(Name), PerSecond, Now).first;
  if (!Found->second.allow(Now))
    return std::nullopt;
  return Found->second.consumeSuppressedCount();
}

void finishLine(LogLevel Level, LineBuilder &Line, uint64_t Suppressed) {
  if (Suppressed > 0)
    Line.add({"suppressed", Suppressed});
  writeLine(Level, Line.finish());
}

void writeEvent(LogLevel Level, const char *Event, uint32_t PerSecond,
                std::initializer_list<LogField> Fields) {
  if (!enabled(Level))
    return;
  const std::optional<uint64_t> Suppressed = checkRateLimit(Event, PerSecond);
  if (!Suppressed)
    return;
  LineBuilder Line(Level, state().Options.Json);
  Line.add({"event", Event});
  for (const LogField &Field : Fields)
    Line.add(Field);
  finishLine(Level, Line, *Suppressed);
}

} // namespace

void initLog(const LogOptions &Options) {
  LogState &Log = state();
  Log.Options = Options;
  setLogLevel(Options.Level);
  const int Fd = Options.ToStandardOutput ? STDOUT_FILENO : STDERR_FILENO;
  Log.Sink = boost::make_shared<logging::sinks::synchronous_sink<LineBackend>>(
      boost::make_shared<LineBackend>(Fd));
  logging::core::get()->add_sink(Log.Sink);
}

void setLogLevel(LogLevel Level) { state().MinLevel = static_cast<int>(Level); }

void flushLog() {
  if (state().Sink != nullptr)
    state().Sink->flush();
}

void logMessage(LogLevel Level, const LogContext &Context,
                const std::string &Text) {
  if (!enabled(Level))
    return;
  const LogOptions &Options = state().Options;
  const std::optional<uint64_t> Suppressed =
      checkRateLimit(Context.Step, Options.EventsPerSecond);
  if (!Suppressed)
    return;
  LineBuilder Line(Level, Options.Json);
  const std::array<LogField, 4> Fields = {{{"step", Context.Step},
                                           {"peer", Context.Peer},
                                           {"version", Context.Version},
                                           {"request", Context.Request}}};
  for (const LogField &Field : Fields)
    if (!Field.text().empty())
      Line.add(Field);
  Line.add({"text", Text});
  finishLine(Level, Line, *Suppressed);
}

void logError(LogLevel Level, const Error &Failure) {
  logMessage(Level, {.Step = Failure.Step, .Peer = Failure.Peer},
             Failure.Code.message() +
                 (Failure.Detail.empty() ? "" : ": " + Failure.Detail));
}

void logEvent(LogLevel Level, const char *Event,
              std::initializer_list<LogField> Fields) {
  writeEvent(Level, Event, state().Options.EventsPerSecond, Fields);
}

void logSampledEvent(const char *Event,
                     std::initializer_list<LogField> Fields) {
  writeEvent(LogLevel::Info, Event, state().Options.SamplesPerSecond, Fields);
}

} // namespace bluebellbarrow
