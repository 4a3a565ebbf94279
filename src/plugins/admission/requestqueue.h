#ifndef BLUEBELLBARROW_ADMISSION_REQUESTQUEUE_H
#define BLUEBELLBARROW_ADMISSION_REQUESTQUEUE_H

#include "kernel/clock.h"
#include "kernel/ids.h"
#include "seenrequests.h"

#include <optional>
#include <vector>

namespace bluebellbarrow {

/** A request that waits for a slot of the target. */
struct QueuedRequest {
  RequestKey Key;
  RouteName Route;

  /** Rank; 0 goes first. */
  int64_t Priority = 0;

  /** Time until which an answer is of full use. */
  TimePoint SoftDeadline;

  TimePoint Deadline;

  /** Time that the target is expected to take. */
  Duration ServiceTime{};

  /** Returns true when its answer can't come before the aim any more. */
  bool isLate(TimePoint Now) const {
    return Now + this->ServiceTime > this->SoftDeadline;
  }
};

/**
 * The requests that wait, in the order in which they start: by rank; within a
 * rank first those that can still meet their aim, by aim; then the late ones,
 * by deadline.
 *
 * Thread safety: none; owned by one task.
 */
class RequestQueue {
public:
  size_t size() const { return this->Requests.size(); }

  bool empty() const { return this->Requests.empty(); }

  void add(QueuedRequest Request) {
    this->Requests.push_back(std::move(Request));
  }

  /** Removes \a Key; returns false when it does not wait. */
  bool remove(const RequestKey &Key);

  /** Returns the one that starts first. \pre not empty(). */
  const QueuedRequest &first(TimePoint Now) const;

  /** Returns the one that starts last. \pre not empty(). */
  const QueuedRequest &last(TimePoint Now) const;

  /** Removes and returns the one that starts first. \pre not empty(). */
  QueuedRequest popFirst(TimePoint Now);

  /** Removes and returns those that can't be answered in time any more. */
  std::vector<QueuedRequest> removeExpired(TimePoint Now);

  /** Returns those that can't be answered before their aim any more. */
  std::vector<QueuedRequest> lateRequests(TimePoint Now) const;

  /** Removes and returns all. */
  std::vector<QueuedRequest> removeAll();

  /** Returns the work of those that start before \a Request. */
  std::vector<Duration> serviceTimesAhead(const QueuedRequest &Request,
                                          TimePoint Now) const;

  /** Returns true when \a A starts before \a B. */
  static bool startsBefore(const QueuedRequest &A, const QueuedRequest &B,
                           TimePoint Now);

private:
  std::vector<QueuedRequest> Requests;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_ADMISSION_REQUESTQUEUE_H
