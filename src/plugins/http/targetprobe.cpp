#include "targetprobe.h"

#include "kernel/httpheaders.h"

namespace bluebellbarrow {

namespace {

constexpr Duration ProbeTimeout = seconds(1);
constexpr size_t MaxResponseBytes = size_t{64} * 1024;

/** Failed probes in a row after which the target counts as not serving. */
constexpr int FailureThreshold = 3;

} // namespace

TargetProbe::TargetProbe(Task &Owner, const NodeSettings &Settings,
                         std::function<void(MemberState)> OnState)
    : OnState(std::move(OnState)), Path(Settings.HealthPath),
      Client(Owner, {.Name = "probe",
                     .LocalIp = {},
                     .Remote = Settings.TargetEndpoint,
                     .SlotCount = 2,
                     .MaxBodyBytes = MaxResponseBytes}),
      ProbeTimer(Owner, [this] { this->probe(); }) {}

void TargetProbe::setPeriod(Duration New) {
  const bool Starts =
      this->Period == Duration::zero() && New > Duration::zero();
  this->Period = New;
  if (Starts)
    this->probe();
  if (New == Duration::zero())
    this->ProbeTimer.cancel();
}

void TargetProbe::probe() {
  this->ProbeTimer.start(this->Period);
  if (this->Client.busySlots() > 0)
    return;
  this->Client.call({.Method = "GET",
                     .RequestTarget = this->Path,
                     .Headers = {{"Host", "target"}},
                     .Body = {}},
                    ProbeTimeout, [this](const CallResult &Result) {
                      this->onProbeDone(Result);
                    });
}

void TargetProbe::onProbeDone(const CallResult &Result) {
  const std::string_view State =
      headerValue(Result.Response.Headers, header::TargetState);
  if (Result.Outcome == CallOutcome::Answered && State == "draining") {
    this->ConsecutiveFailures = 0;
    this->OnState(MemberState::Draining);
    return;
  }
  if (Result.Outcome == CallOutcome::Answered &&
      Result.Response.Status == 200) {
    this->ConsecutiveFailures = 0;
    this->OnState(MemberState::Serving);
    return;
  }
  this->ConsecutiveFailures += 1;
  if (this->ConsecutiveFailures >= FailureThreshold)
    this->OnState(MemberState::Starting);
}

} // namespace bluebellbarrow
