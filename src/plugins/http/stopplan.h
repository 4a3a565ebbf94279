#ifndef BLUEBELLBARROW_HTTP_STOPPLAN_H
#define BLUEBELLBARROW_HTTP_STOPPLAN_H

#include "kernel/clock.h"

#include <cstddef>
#include <optional>

namespace bluebellbarrow {

/** Times of an orderly stop. */
struct StopPlanOptions {
  /** Time for which callers may still come after the stop began. */
  Duration LeaveTime{};

  /** Time after which the process is killed. */
  Duration Limit{};
};

/** What a node that stops does with requests. */
enum class StopPhase {
  /** It does not stop. */
  Running,

  /** Says that it is not ready, and serves whoever still comes. */
  Leaving,

  /** Finishes what it has and refuses the rest. */
  Draining,

  /** Ends what is left: the process will be killed soon. */
  Over,
};

/**
 * The phases of an orderly stop, which cuts no request: callers get time to
 * go elsewhere, and the target works until then; the process ends as soon as
 * nothing is open, and before it would be killed.
 *
 * A decision object. Thread safety: none; owned by one task.
 */
class StopPlan {
public:
  /** The stop begins; later calls have no effect. */
  void begin(const StopPlanOptions &Options, TimePoint Now);

  StopPhase phase(TimePoint Now) const;

  /**
   * Returns true when the process may end. \a Open counts the requests that
   * were taken and have not ended; \a LastOpen is when there were any last.
   * Callers that go on sending are refused and hold up nothing: the sooner the
   * process is back, the sooner they are served.
   */
  bool finished(size_t Open, TimePoint LastOpen, TimePoint Now) const;

private:
  StopPlanOptions Options;
  std::optional<TimePoint> Began;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_HTTP_STOPPLAN_H
