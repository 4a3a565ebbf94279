#ifndef BLUEBELLBARROW_HTTP_GRACEFULSHUTDOWN_H
#define BLUEBELLBARROW_HTTP_GRACEFULSHUTDOWN_H

#include "kernel/clock.h"

#include <cstddef>
#include <optional>

namespace bluebellbarrow {

/** Timing of a graceful shutdown. */
struct GracefulShutdownOptions {
  /** Time from begin() in which new requests are still served. */
  Duration LeaveGracePeriod{};

  /** Time from begin() after which the process is killed. */
  Duration Timeout{};
};

/** How a node that shuts down handles requests. */
enum class ShutdownPhase {
  /** No shutdown has begun. */
  Running,

  /** Reports that it is not ready, and still serves new requests. */
  Leaving,

  /** Finishes open requests and refuses new ones. */
  Draining,

  /** Fails open requests: the process will be killed soon. */
  Terminating,
};

/**
 * Phases of a graceful shutdown. Callers get time to choose another node while
 * the target still serves; then the process exits once no request is open, and
 * in any case before it would be killed.
 *
 * Makes decisions only and performs no I/O. Thread safety: none; owned by one
 * task.
 */
class GracefulShutdown {
public:
  /** Starts the shutdown; later calls have no effect. */
  void begin(const GracefulShutdownOptions &Options, TimePoint Now);

  ShutdownPhase phase(TimePoint Now) const;

  /**
   * Returns true when the process may exit. \a Unfinished counts open requests
   * and connections whose callers have not received all responses; \a
   * LastOpenAt is the last time at which it was not 0. Requests that are
   * refused do not count, so callers that go on sending do not delay the
   * restart.
   */
  bool mayExit(size_t Unfinished, TimePoint LastOpenAt, TimePoint Now) const;

private:
  GracefulShutdownOptions Options;
  std::optional<TimePoint> StartedAt;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_HTTP_GRACEFULSHUTDOWN_H
