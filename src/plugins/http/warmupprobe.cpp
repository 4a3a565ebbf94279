#include "warmupprobe.h"

#include "kernel/log.h"
#include "plugins/metrics/metrics.h"

#include <charconv>

namespace bluebellbarrow {

namespace {

constexpr Duration ProbeTimeout = milliseconds(500);
constexpr size_t MaxResponseBytes = size_t{64} * 1024;

/** Longest warm-up time that a response may tell, in milliseconds. */
constexpr double MaxWarmUpMillis = 600e3;

} // namespace

std::optional<Duration> parseRemainingWarmUp(std::string_view Text) {
  if (Text.empty())
    return Duration::zero();
  double Amount = 0;
  const auto Parsed =
      std::from_chars(Text.data(), Text.data() + Text.size(), Amount);
  const std::string_view Unit = Text.substr(
      static_cast<size_t>(Parsed.ptr - Text.data()), std::string_view::npos);
  const bool IsKnownUnit = Unit.empty() || Unit == "ms" || Unit == "s";
  constexpr double MillisPerSecond = 1000;
  const double Millis = Unit == "s" ? Amount * MillisPerSecond : Amount;
  // Also false for a value that is not a number.
  const bool IsInRange = Millis >= 0 && Millis <= MaxWarmUpMillis;
  if (Parsed.ec != std::errc() || !IsKnownUnit || !IsInRange)
    return std::nullopt;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(Millis));
}

WarmUpProbe::WarmUpProbe(Task &Owner, const CallProtocol &Protocol,
                         ColdStartLimiter &Limiter, Metrics &NodeMetrics)
    : Owner(Owner), Protocol(Protocol), Limiter(Limiter),
      NodeMetrics(NodeMetrics) {}

void WarmUpProbe::setTarget(const Endpoint &NewRemote,
                            const std::string &NewPath) {
  this->Path = NewPath;
  if (this->Client != nullptr && NewRemote == this->Remote)
    return;
  this->Remote = NewRemote;
  if (this->Client != nullptr)
    this->Client->cancel(0, "the target has moved");
  this->Client = std::make_unique<HttpClient>(
      this->Owner, HttpClientOptions{.Name = "warm-up probe",
                                     .LocalIp = {},
                                     .Remote = this->Remote,
                                     .SlotCount = 1,
                                     .MaxBodyBytes = MaxResponseBytes});
}

void WarmUpProbe::poll(TimePoint Now) {
  if (!this->Limiter.isProbeDue(Now) || this->Client->busySlots() > 0)
    return;
  this->Limiter.onStart(Now);
  this->Limiter.onProbeSent(Now);
  this->NodeMetrics.add(Metric::WarmUpProbes, "");
  this->Client->call(
      {.Method = "GET",
       .RequestTarget = this->Path,
       .Headers = {{"Host", "target"}},
       .Body = {}},
      ProbeTimeout, [this](const CallResult &Result) { this->onDone(Result); });
}

void WarmUpProbe::onDone(const CallResult &Result) {
  std::optional<Duration> Remaining;
  if (Result.Outcome == CallOutcome::Answered)
    Remaining = parseRemainingWarmUp(headerValue(
        Result.Response.Headers, this->Protocol.headerNames().RemainingWarmUp));
  this->Limiter.onProbeDone(Remaining, Task::now());
  this->logTransition(Remaining);
}

void WarmUpProbe::logTransition(std::optional<Duration> Remaining) {
  const bool IsCold = Remaining && *Remaining > Duration::zero();
  this->NodeMetrics.set(Metric::ColdTarget, "", IsCold ? 1 : 0);
  if (!Remaining || IsCold == this->LoggedCold)
    return;
  this->LoggedCold = IsCold;
  logEvent(LogLevel::Info, IsCold ? "target is cold" : "target is warm",
           {{"remaining_ms", toMilliseconds(*Remaining)}});
}

} // namespace bluebellbarrow
