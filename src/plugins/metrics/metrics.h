#ifndef BLUEBELLBARROW_METRICS_METRICS_H
#define BLUEBELLBARROW_METRICS_METRICS_H

#include "kernel/clock.h"

#include <memory>
#include <string>

namespace bluebellbarrow {

/** What a node counts and measures; the texts are in metrics.cpp. */
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
  VersionConflicts,
  RequestTime,
  WaitTime,
  RunTime,
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

  /** Adds to a counter. \a Label may be empty. */
  void add(Metric Which, const std::string &Label, double Value = 1);

  /** Sets a gauge. */
  void set(Metric Which, const std::string &Label, double Value);

  /** Adds a time to a histogram. */
  void observe(Metric Which, const std::string &Label, Duration Time);

  /** Returns every metric as text. */
  std::string toPrometheusText() const;

private:
  struct Families;
  std::unique_ptr<Families> Impl;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_METRICS_METRICS_H
