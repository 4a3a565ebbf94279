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

  /** Order in the queue; 0 first. */
  int64_t Priority = 0;

  /** A response after it is worth less. */
  TimePoint SoftDeadline;

  TimePoint Deadline;

  /** Expected service time. */
  Duration ServiceTime{};

  /** Returns true if a start at \a Now would miss the soft deadline. */
  bool isLate(TimePoint Now) const {
    return Now + this->ServiceTime > this->SoftDeadline;
  }
};

/**
 * The queued requests in the order in which they start: by priority; within a
 * priority first those that are not late, by soft deadline; then the late ones,
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

  /** Removes \a Key. Returns false if it is not queued. */
  bool remove(const RequestKey &Key);

  /** Returns the request that starts first. \pre not empty(). */
  const QueuedRequest &first(TimePoint Now) const;

  /** Returns the request that starts last. \pre not empty(). */
  const QueuedRequest &last(TimePoint Now) const;

  /** Removes and returns the request that starts first. \pre not empty(). */
  QueuedRequest popFirst(TimePoint Now);

  /**
   * Removes and returns the requests that would miss their deadline even if
   * they started now and took half of their expected service time.
   */
  std::vector<QueuedRequest> removeExpired(TimePoint Now);

  /** Returns the requests that are late. */
  std::vector<QueuedRequest> lateRequests(TimePoint Now) const;

  /** Removes and returns all requests. */
  std::vector<QueuedRequest> removeAll();

  /** Returns the service times of requests that start before \a Request. */
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
