#include "log.h"

#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/utility/manipulators/add_value.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <iostream>

namespace bluebellbarrow {

namespace {

namespace logging = boost::log; // NOLINT: customary alias

constexpr std::array<const char *, 4> LevelNames = {"debug", "info", "warning",
                                                    "error"};

using Logger = logging::sources::severity_logger_mt<int>;

Logger &logger() {
  static Logger Instance;
  return Instance;
}

std::string attribute(const logging::record_view &Record, const char *Name) {
  const auto Value = logging::extract<std::string>(Name, Record);
  return Value ? Value.get() : std::string();
}

std::string timestamp(const logging::record_view &Record) {
  const auto Time =
      logging::extract<boost::posix_time::ptime>("TimeStamp", Record);
  return Time ? boost::posix_time::to_iso_extended_string(Time.get()) + "Z"
              : std::string();
}

const char *levelName(const logging::record_view &Record) {
  const auto Level = logging::extract<int>("Severity", Record);
  return Level ? LevelNames.at(static_cast<size_t>(Level.get())) : "info";
}

constexpr std::array<const char *, 4> AttributeNames = {"step", "peer",
                                                        "version", "request"};

void formatText(const logging::record_view &Record,
                logging::formatting_ostream &Out) {
  Out << timestamp(Record) << ' ' << levelName(Record);
  for (const char *Name : AttributeNames) {
    const std::string Value = attribute(Record, Name);
    if (!Value.empty())
      Out << ' ' << Name << "=\"" << Value << '"';
  }
  Out << " \"" << Record[logging::expressions::smessage] << '"';
}

void formatJson(const logging::record_view &Record,
                logging::formatting_ostream &Out) {
  nlohmann::json Line = {{"time", timestamp(Record)},
                         {"level", levelName(Record)}};
  for (const char *Name : AttributeNames) {
    const std::string Value = attribute(Record, Name);
    if (!Value.empty())
      Line[Name] = Value;
  }
  const auto Text = Record[logging::expressions::smessage];
  Line["text"] = Text ? Text.get() : std::string();
  Out << Line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

void initLog(const LogOptions &Options) {
  const auto Sink = logging::add_console_log(std::clog);
  Sink->set_formatter(Options.Json ? &formatJson : &formatText);
  Sink->locked_backend()->auto_flush(true);
  logging::core::get()->add_global_attribute("TimeStamp",
                                             logging::attributes::utc_clock());
  const int Lowest = static_cast<int>(Options.Level);
  logging::core::get()->set_filter(
      logging::expressions::attr<int>("Severity") >= Lowest);
}

void logRecord(LogLevel Level, const LogContext &Context,
               const std::string &Text) {
  const std::string Request =
      Context.Request == 0 ? "" : std::to_string(Context.Request);
  BOOST_LOG_SEV(logger(), static_cast<int>(Level))
      << logging::add_value("step", Context.Step)
      << logging::add_value("peer", Context.Peer)
      << logging::add_value("version", Context.Version)
      << logging::add_value("request", Request) << Text;
}

void logError(LogLevel Level, const Error &Failure) {
  logRecord(Level, {.Step = Failure.Step, .Peer = Failure.Peer},
            Failure.Code.message() +
                (Failure.Detail.empty() ? "" : ": " + Failure.Detail));
}

} // namespace bluebellbarrow
