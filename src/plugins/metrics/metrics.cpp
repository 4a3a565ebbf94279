#include "metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <map>

namespace bluebellbarrow {

namespace {

struct Definition {
  Metric Which;
  const char *Name;
  const char *Label;
  bool IsCounter;
  const char *Help;
};

constexpr std::array<Definition, 17> Definitions = {{
    {Metric::VersionNumber, "bluebellbarrow_version_number", "kind", false,
     "Number of the version in force"},
    {Metric::VersionSince, "bluebellbarrow_version_applied_seconds", "kind",
     false, "Unix time at which the version came into force"},
    {Metric::PlatformAge, "bluebellbarrow_platform_age_seconds", "", false,
     "Age of the last good read of the platform known here; -1 for none"},
    {Metric::Incarnation, "bluebellbarrow_incarnation", "", false,
     "Identity of this life of the process"},
    {Metric::ControlBytesOut, "bluebellbarrow_control_sent_bytes_total",
     "cause", true, "Bytes sent for control, without IP and TCP headers"},
    {Metric::ControlBytesIn, "bluebellbarrow_control_received_bytes_total",
     "cause", true, "Bytes received for control"},
    {Metric::PlatformReads, "bluebellbarrow_platform_reads_total", "result",
     true, "Requests to the platform"},
    {Metric::Requests, "bluebellbarrow_requests_total", "outcome", true,
     "Calls of callers by how they ended"},
    {Metric::Attempts, "bluebellbarrow_attempts_total", "kind", true,
     "Attempts at upstreams"},
    {Metric::Refused, "bluebellbarrow_refused_total", "reason", true,
     "Requests that this node kept from its target"},
    {Metric::RetryBudget, "bluebellbarrow_retry_budget", "service", false,
     "Retries that may be made at once"},
    {Metric::SlotsUsed, "bluebellbarrow_slots_used", "", false,
     "Requests running at the target"},
    {Metric::QueueLength, "bluebellbarrow_queue_length", "", false,
     "Requests waiting for a slot"},
    {Metric::Malformed, "bluebellbarrow_malformed_total", "listener", true,
     "Connections closed for what came over them"},
    {Metric::Pauses, "bluebellbarrow_pauses_total", "task", true,
     "Times that the process did not run for a while"},
    {Metric::Ejected, "bluebellbarrow_ejected_upstreams", "", false,
     "Upstreams left out for their failures"},
    {Metric::Conflicts, "bluebellbarrow_version_conflicts_total", "", true,
     "Version numbers that were given twice"},
}};

prometheus::Labels labelsOf(const Definition &Of, const std::string &Label) {
  if (Of.Label[0] == '\0')
    return {};
  return {{Of.Label, Label}};
}

} // namespace

struct Metrics::Families {
  prometheus::Registry Registry;
  std::map<Metric, prometheus::Family<prometheus::Counter> *> Counters;
  std::map<Metric, prometheus::Family<prometheus::Gauge> *> Gauges;
};

Metrics::Metrics() : Impl(std::make_unique<Families>()) {
  for (const Definition &Each : Definitions) {
    if (Each.IsCounter)
      this->Impl->Counters[Each.Which] =
          &prometheus::BuildCounter().Name(Each.Name).Help(Each.Help).Register(
              this->Impl->Registry);
    else
      this->Impl->Gauges[Each.Which] =
          &prometheus::BuildGauge().Name(Each.Name).Help(Each.Help).Register(
              this->Impl->Registry);
  }
}

Metrics::~Metrics() = default;

void Metrics::add(Metric Which, const std::string &Label, double Value) {
  const Definition &Of = Definitions.at(static_cast<size_t>(Which));
  this->Impl->Counters.at(Which)->Add(labelsOf(Of, Label)).Increment(Value);
}

void Metrics::set(Metric Which, const std::string &Label, double Value) {
  const Definition &Of = Definitions.at(static_cast<size_t>(Which));
  this->Impl->Gauges.at(Which)->Add(labelsOf(Of, Label)).Set(Value);
}

std::string Metrics::text() const {
  return prometheus::TextSerializer().Serialize(this->Impl->Registry.Collect());
}

} // namespace bluebellbarrow
