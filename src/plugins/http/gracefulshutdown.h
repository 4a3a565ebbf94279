#ifndef BLUEBELLBARROW_HTTP_GRACEFULSHUTDOWN_H
#define BLUEBELLBARROW_HTTP_GRACEFULSHUTDOWN_H

#include "kernel/clock.h"

#include <cstddef>
#include <optional>

namespace bluebellbarrow {

/** Times of an orderly stop. */
struct GracefulShutdownOptions {
  /** Time for which callers may still come after the stop began. */
  Duration LeaveGracePeriod{};

  /** Time after which the process is killed. */
  Duration Timeout{};
};

/** What a node that stops does with requests. */
enum class ShutdownPhase {
  /** It does not stop. */
  Running,

  /** Says that it is not ready, and serves whoever still comes. */
  Leaving,

  /** Finishes what it has and refuses the rest. */
  Draining,

  /** Ends what is left: the process will be killed soon. */
  Terminating,
};

/**
 * The phases of an orderly stop, which cuts no request: callers get time to
 * go elsewhere, and the target works until then; the process ends as soon as
 * nothing is open, and before it would be killed.
 *
 * A decision object. Thread safety: none; owned by one task.
 */
class GracefulShutdown {
public:
  /** The stop begins; later calls have no effect. */
  void begin(const GracefulShutdownOptions &Options, TimePoint Now);

  ShutdownPhase phase(TimePoint Now) const;

  /**
   * Returns true when the process may end. \a Open counts the requests that
   * were taken and have not ended; \a LastOpen is when there were any last.
   * Callers that go on sending are refused and hold up nothing: the sooner the
   * process is back, the sooner they are served.
   */
  bool mayExit(size_t Open, TimePoint LastOpen, TimePoint Now) const;

private:
  GracefulShutdownOptions Options;
  std::optional<TimePoint> StartedAt;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_HTTP_GRACEFULSHUTDOWN_H
