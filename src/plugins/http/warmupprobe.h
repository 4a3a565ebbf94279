#ifndef BLUEBELLBARROW_HTTP_WARMUPPROBE_H
#define BLUEBELLBARROW_HTTP_WARMUPPROBE_H

#include "callprotocol.h"
#include "kernel/httpclient.h"
#include "kernel/task.h"
#include "plugins/admission/coldstartlimiter.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace bluebellbarrow {

class Metrics;

/**
 * Parses the remaining warm-up time in a response: a number with the unit ms or
 * s, or without a unit in milliseconds. An empty text means that the target is
 * warm. Returns nullopt for any other text. Thread safety: safe.
 */
std::optional<Duration> parseRemainingWarmUp(std::string_view Text);

/**
 * Sends the probes that a ColdStartLimiter asks for to the local target's
 * health path, and tells it how long the target stays cold. Whether the
 * response calls the target healthy has no effect.
 *
 * Thread safety: none; owned by one task.
 */
class WarmUpProbe {
public:
  /** \pre the references outlive the object. */
  WarmUpProbe(Task &Owner, const CallProtocol &Protocol,
              ColdStartLimiter &Limiter, Metrics &NodeMetrics);

  /** Sets the target's endpoint and health path. */
  void setTarget(const Endpoint &Remote, const std::string &Path);

  /** Sends a probe if one is due. \pre setTarget() was called. */
  void poll(TimePoint Now);

private:
  void onDone(const CallResult &Result);

  /** Logs when the target becomes cold, and when it is warm again. */
  void logTransition(std::optional<Duration> Remaining);

  Task &Owner;
  const CallProtocol &Protocol;
  ColdStartLimiter &Limiter;
  Metrics &NodeMetrics;
  std::unique_ptr<HttpClient> Client;
  Endpoint Remote;
  std::string Path;
  bool LoggedCold = false;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_HTTP_WARMUPPROBE_H
