#ifndef BLUEBELLBARROW_METRICS_METRICS_H
#define BLUEBELLBARROW_METRICS_METRICS_H

#include "kernel/clock.h"

#include <memory>
#include <string>

namespace bluebellbarrow {

/**
 * Metrics of a node, in the order of their definitions in metrics.cpp, which
 * hold the names and help texts.
 */
enum class Metric {
  VersionNumber,
  VersionAppliedAt,
  PlatformAge,
  Incarnation,
  ControlBytesSent,
  ControlBytesReceived,
  PlatformReads,
  Requests,
  Attempts,
  Refused,
  RetryBudget,
  SlotsUsed,
  QueueLength,
  Malformed,
  Pauses,
  EjectedUpstreams,
  ExcludedUpstreams,
  UnreadResponses,
  BufferedBytes,
  StalledCallers,
  VersionConflicts,
  EvacuatedDomains,
  WarmUpProbes,
  ColdTarget,
  TargetCapacity,
  RequestTime,
  QueueTime,
  ServiceTime,
};

/**
 * The node's metrics in the Prometheus text format.
 *
 * Thread safety: safe.
 */
class Metrics {
public:
  Metrics();
  ~Metrics();

  /** Increases a counter. Metrics without a label ignore \a LabelValue. */
  void add(Metric Id, const std::string &LabelValue, double Value = 1);

  /** Sets a gauge. */
  void set(Metric Id, const std::string &LabelValue, double Value);

  /** Adds \a Time to a histogram, in seconds. */
  void observe(Metric Id, const std::string &LabelValue, Duration Time);

  /** Returns every metric in the Prometheus text format. */
  std::string toPrometheusText() const;

private:
  struct Families;
  std::unique_ptr<Families> Impl;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_METRICS_METRICS_H
