#ifndef BLUEBELLBARROW_ADMISSION_WAITINGLINE_H
#define BLUEBELLBARROW_ADMISSION_WAITINGLINE_H

#include "kernel/clock.h"
#include "kernel/ids.h"
#include "seenrequests.h"

#include <optional>
#include <vector>

namespace bluebellbarrow {

/** A request that waits for a slot of the target. */
struct WaitingRequest {
  RequestKey Key;
  RouteName Route;

  /** Rank; 0 goes first. */
  int64_t Priority = 0;

  /** Time until which an answer is of full use. */
  TimePoint Aim;

  TimePoint Deadline;

  /** Time that the target is expected to take. */
  Duration Work{};

  /** Returns true when its answer can't come before the aim any more. */
  bool late(TimePoint Now) const { return Now + this->Work > this->Aim; }
};

/**
 * The requests that wait, in the order in which they start: by rank; within a
 * rank first those that can still meet their aim, by aim; then the late ones,
 * by deadline.
 *
 * Thread safety: none; owned by one task.
 */
class WaitingLine {
public:
  size_t size() const { return this->Waiting.size(); }

  bool empty() const { return this->Waiting.empty(); }

  void add(WaitingRequest Request) {
    this->Waiting.push_back(std::move(Request));
  }

  /** Removes \a Key; returns false when it does not wait. */
  bool remove(const RequestKey &Key);

  /** Returns the one that starts first. \pre not empty(). */
  const WaitingRequest &first(TimePoint Now) const;

  /** Returns the one that starts last. \pre not empty(). */
  const WaitingRequest &last(TimePoint Now) const;

  /** Removes and returns the one that starts first. \pre not empty(). */
  WaitingRequest takeFirst(TimePoint Now);

  /** Removes and returns those that can't be answered in time any more. */
  std::vector<WaitingRequest> takeHopeless(TimePoint Now);

  /** Returns those that can't be answered before their aim any more. */
  std::vector<WaitingRequest> late(TimePoint Now) const;

  /** Removes and returns all. */
  std::vector<WaitingRequest> takeAll();

  /** Returns the work of those that start before \a Request. */
  std::vector<Duration> workAhead(const WaitingRequest &Request,
                                  TimePoint Now) const;

  /** Returns true when \a A starts before \a B. */
  static bool startsBefore(const WaitingRequest &A, const WaitingRequest &B,
                           TimePoint Now);

private:
  std::vector<WaitingRequest> Waiting;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_ADMISSION_WAITINGLINE_H
