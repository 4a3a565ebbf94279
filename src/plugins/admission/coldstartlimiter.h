#ifndef BLUEBELLBARROW_ADMISSION_COLDSTARTLIMITER_H
#define BLUEBELLBARROW_ADMISSION_COLDSTARTLIMITER_H

#include "kernel/clock.h"

#include <cstddef>
#include <deque>
#include <optional>

namespace bluebellbarrow {

/** What a target takes while it is cold. */
struct ColdStartLimits {
  /** Requests per second; 0 for a target that needs no limit. */
  double Rate = 0;

  /** Factor on Rate up to which requests are started. */
  double Overshoot = 1;

  /** Requests in one second beyond that which the target survives. */
  double Slack = 0;
};

/**
 * Limits the requests that are started at a target that is cold, or may be.
 *
 * A target does not say at once that it has become cold, so what counts is the
 * last proof that it was warm: a probe that was answered so. Requests that were
 * started since that probe was sent are at risk. In any second no more of them
 * are started than a cold target survives, and a new probe is due well before
 * that. So no bound on the time of detection is needed, and a busy target is
 * probed more often than an idle one.
 *
 * Load pattern: targets that restart, return with their failure domain, or are
 * taken back after an evacuation, while all callers wait for them.
 *
 * Makes decisions only. The process remembers nothing of an earlier one, which
 * may have started requests just before it ended; a new object therefore starts
 * none in its first second without a proof.
 *
 * Thread safety: none; owned by one task.
 */
class ColdStartLimiter {
public:
  /** \a Now is the time of the start of the process. */
  explicit ColdStartLimiter(TimePoint Now)
      : StartedAt(Now), LostAt(Now), ColdUntil(Now) {}

  /** Replaces the limits; a Rate of 0 ends every effect. */
  void setLimits(const ColdStartLimits &New) { this->Limits = New; }

  /** Returns true if the target has a limit while it is cold. */
  bool isActive() const { return this->Limits.Rate > 0; }

  /** Returns true unless the target is known to be warm. */
  bool mayBeCold(TimePoint Now) const;

  /** Returns true if a request may be started now. */
  bool mayStart(TimePoint Now) const;

  /** Returns the time until a request behind \a Ahead others may start. */
  Duration timeToStart(size_t Ahead, TimePoint Now) const;

  /** Called for each request that is started, also for a probe. */
  void onStart(TimePoint Now);

  /** Returns true when a probe should be sent; false while one is open. */
  bool isProbeDue(TimePoint Now) const;

  void onProbeSent(TimePoint Now);

  /**
   * Called when a probe has ended. \a Remaining is how long the target stays
   * cold, and unset if there was no response.
   */
  void onProbeDone(std::optional<Duration> Remaining, TimePoint Now);

  /**
   * Called when another process may be the target from now on, or when the
   * target has been without requests for long.
   */
  void onTargetChanged(TimePoint Now);

private:
  size_t maxCold() const;
  size_t maxUnproven() const;
  size_t startsSince(TimePoint Since) const;

  ColdStartLimits Limits;

  /** Starts of the last second, oldest first. */
  std::deque<TimePoint> Starts;

  TimePoint StartedAt;

  /** Since then the target may be another one. */
  TimePoint LostAt;

  /** Sending time of the last probe whose response said that it is warm. */
  std::optional<TimePoint> WarmAsOf;

  /** The target has said that it stays cold until then. */
  TimePoint ColdUntil;

  std::optional<TimePoint> OpenProbe;
  std::optional<TimePoint> LastProbe;
  size_t StartsSinceProbe = 0;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_ADMISSION_COLDSTARTLIMITER_H
