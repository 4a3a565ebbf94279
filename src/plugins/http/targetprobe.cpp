#include "targetprobe.h"

#include "kernel/httpheaders.h"

namespace bluebellbarrow {

namespace {

constexpr Duration ProbeLimit = seconds(1);
constexpr size_t MaxHealthBytes = size_t{64} * 1024;

/** Failed probes in a row after which the target counts as not serving. */
constexpr int FailureLimit = 3;

} // namespace

TargetProbe::TargetProbe(Task &Owner, const NodeSettings &Settings,
                         std::function<void(MemberState)> OnState)
    : OnState(std::move(OnState)), Path(Settings.HealthPath),
      Client(Owner, {.Name = "probe",
                     .LocalIp = {},
                     .Remote = Settings.Target,
                     .Slots = 2,
                     .MaxBodyBytes = MaxHealthBytes}),
      Next(Owner, [this] { this->probe(); }) {}

void TargetProbe::setPeriod(Duration New) {
  const bool Begins =
      this->Period == Duration::zero() && New > Duration::zero();
  this->Period = New;
  if (Begins)
    this->probe();
  if (New == Duration::zero())
    this->Next.cancel();
}

void TargetProbe::probe() {
  this->Next.start(this->Period);
  if (this->Client.busy() > 0)
    return;
  this->Client.call({.Method = "GET",
                     .Target = this->Path,
                     .Headers = {{"Host", "target"}},
                     .Body = {}},
                    ProbeLimit,
                    [this](const CallResult &Result) { this->onDone(Result); });
}

void TargetProbe::onDone(const CallResult &Result) {
  const std::string_view State =
      headerValue(Result.Response.Headers, header::TargetState);
  if (Result.End == CallEnd::Answered && State == "draining") {
    this->Failures = 0;
    this->OnState(MemberState::Draining);
    return;
  }
  if (Result.End == CallEnd::Answered && Result.Response.Status == 200) {
    this->Failures = 0;
    this->OnState(MemberState::Serving);
    return;
  }
  this->Failures += 1;
  if (this->Failures >= FailureLimit)
    this->OnState(MemberState::Starting);
}

} // namespace bluebellbarrow
