#include "metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <map>

namespace bluebellbarrow {

namespace {

enum class MetricKind { Counter, Gauge, Histogram };

/** Upper bounds of the buckets of every histogram, in seconds. */
const prometheus::Histogram::BucketBoundaries BucketBounds = {
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10};

/** Name, label and help text of a metric. */
struct MetricDefinition {
  Metric Id;
  const char *Name;

  /** Empty for a metric without a label. */
  const char *LabelName;

  MetricKind Kind;
  const char *Help;
};

/** In the order of Metric, whose values are indices into this array. */
constexpr std::array<MetricDefinition, 28> MetricDefinitions = {{
    {Metric::VersionNumber, "bluebellbarrow_version_number", "kind",
     MetricKind::Gauge, "Number of the version in force"},
    {Metric::VersionAppliedAt, "bluebellbarrow_version_applied_seconds", "kind",
     MetricKind::Gauge, "Unix time at which the version came into force"},
    {Metric::PlatformAge, "bluebellbarrow_platform_age_seconds", "",
     MetricKind::Gauge,
     "Age of the last good read of the platform known here; -1 for none"},
    {Metric::Incarnation, "bluebellbarrow_incarnation", "", MetricKind::Gauge,
     "Identity of this life of the process"},
    {Metric::ControlBytesSent, "bluebellbarrow_control_sent_bytes_total",
     "cause", MetricKind::Counter,
     "Bytes sent for control, without IP and TCP headers"},
    {Metric::ControlBytesReceived,
     "bluebellbarrow_control_received_bytes_total", "cause",
     MetricKind::Counter, "Bytes received for control"},
    {Metric::PlatformReads, "bluebellbarrow_platform_reads_total", "result",
     MetricKind::Counter, "Requests to the platform"},
    {Metric::Requests, "bluebellbarrow_requests_total", "outcome",
     MetricKind::Counter, "Calls of callers by how they ended"},
    {Metric::Attempts, "bluebellbarrow_attempts_total", "kind",
     MetricKind::Counter, "Attempts at upstreams"},
    {Metric::Refused, "bluebellbarrow_refused_total", "reason",
     MetricKind::Counter, "Requests that this node kept from its target"},
    {Metric::RetryBudget, "bluebellbarrow_retry_budget", "service",
     MetricKind::Gauge, "Retries that may be made at once"},
    {Metric::SlotsUsed, "bluebellbarrow_slots_used", "", MetricKind::Gauge,
     "Requests running at the target"},
    {Metric::QueueLength, "bluebellbarrow_queue_length", "", MetricKind::Gauge,
     "Requests waiting for a slot"},
    {Metric::Malformed, "bluebellbarrow_malformed_total", "listener",
     MetricKind::Counter, "Connections closed for what came over them"},
    {Metric::Pauses, "bluebellbarrow_pauses_total", "task", MetricKind::Counter,
     "Times that the process did not run for a while"},
    {Metric::EjectedUpstreams, "bluebellbarrow_ejected_upstreams", "",
     MetricKind::Gauge, "Upstreams left out for their failures"},
    {Metric::ExcludedUpstreams, "bluebellbarrow_excluded_upstreams", "cause",
     MetricKind::Gauge, "Upstreams that get no requests"},
    {Metric::UnreadResponses, "bluebellbarrow_unread_connections", "",
     MetricKind::Gauge,
     "Connections whose callers have not received all that was sent"},
    {Metric::BufferedBytes, "bluebellbarrow_held_bytes", "holder",
     MetricKind::Gauge, "Bytes that the node holds for others"},
    {Metric::StalledCallers, "bluebellbarrow_stalled_callers_total", "limit",
     MetricKind::Counter, "Connections ended since the caller did not read"},
    {Metric::VersionConflicts, "bluebellbarrow_version_conflicts_total", "",
     MetricKind::Counter, "Version numbers that were given twice"},
    {Metric::EvacuatedDomains, "bluebellbarrow_evacuated_domains", "",
     MetricKind::Gauge, "Failure domains whose targets get no requests"},
    {Metric::WarmUpProbes, "bluebellbarrow_warm_up_probes_total", "",
     MetricKind::Counter, "Probes that asked the target whether it is cold"},
    {Metric::ColdTarget, "bluebellbarrow_cold_target", "", MetricKind::Gauge,
     "1 while the target says that it is cold"},
    {Metric::TargetCapacity, "bluebellbarrow_target_capacity", "",
     MetricKind::Gauge, "Requests that the target is given at once"},
    {Metric::RequestTime, "bluebellbarrow_request_seconds", "outcome",
     MetricKind::Histogram, "Time from a caller's request to its answer"},
    {Metric::QueueTime, "bluebellbarrow_wait_seconds", "",
     MetricKind::Histogram,
     "Time that requests waited for a slot of the target"},
    {Metric::ServiceTime, "bluebellbarrow_run_seconds", "outcome",
     MetricKind::Histogram, "Time that the target took"},
}};

prometheus::Labels makeLabels(const MetricDefinition &Definition,
                              const std::string &LabelValue) {
  if (Definition.LabelName[0] == '\0')
    return {};
  return {{Definition.LabelName, LabelValue}};
}

} // namespace

struct Metrics::Families {
  prometheus::Registry Registry;
  std::map<Metric, prometheus::Family<prometheus::Counter> *> Counters;
  std::map<Metric, prometheus::Family<prometheus::Gauge> *> Gauges;
  std::map<Metric, prometheus::Family<prometheus::Histogram> *> Histograms;
};

Metrics::Metrics() : Impl(std::make_unique<Families>()) {
  prometheus::Registry &Registry = this->Impl->Registry;
  for (const MetricDefinition &Definition : MetricDefinitions) {
    switch (Definition.Kind) {
    case MetricKind::Counter:
      this->Impl->Counters[Definition.Id] = &prometheus::BuildCounter()
                                                 .Name(Definition.Name)
                                                 .Help(Definition.Help)
                                                 .Register(Registry);
      break;
    case MetricKind::Gauge:
      this->Impl->Gauges[Definition.Id] = &prometheus::BuildGauge()
                                               .Name(Definition.Name)
                                               .Help(Definition.Help)
                                               .Register(Registry);
      break;
    case MetricKind::Histogram:
      this->Impl->Histograms[Definition.Id] = &prometheus::BuildHistogram()
                                                   .Name(Definition.Name)
                                                   .Help(Definition.Help)
                                                   .Register(Registry);
      break;
    }
  }
}

Metrics::~Metrics() = default;

void Metrics::add(Metric Id, const std::string &LabelValue, double Value) {
  const MetricDefinition &Definition =
      MetricDefinitions.at(static_cast<size_t>(Id));
  this->Impl->Counters.at(Id)
      ->Add(makeLabels(Definition, LabelValue))
      .Increment(Value);
}

void Metrics::set(Metric Id, const std::string &LabelValue, double Value) {
  const MetricDefinition &Definition =
      MetricDefinitions.at(static_cast<size_t>(Id));
  this->Impl->Gauges.at(Id)->Add(makeLabels(Definition, LabelValue)).Set(Value);
}

void Metrics::observe(Metric Id, const std::string &LabelValue, Duration Time) {
  const MetricDefinition &Definition =
      MetricDefinitions.at(static_cast<size_t>(Id));
  const std::chrono::duration<double> Seconds = Time;
  this->Impl->Histograms.at(Id)
      ->Add(makeLabels(Definition, LabelValue), BucketBounds)
      .Observe(Seconds.count());
}

std::string Metrics::toPrometheusText() const {
  return prometheus::TextSerializer().Serialize(this->Impl->Registry.Collect());
}

} // namespace bluebellbarrow
