#ifndef BLUEBELLBARROW_ADMISSION_ADMISSION_H
#define BLUEBELLBARROW_ADMISSION_ADMISSION_H

#include "admittedload.h"
#include "plugins/peer/peermessages.h"
#include "plugins/routing/servicetimeestimator.h"
#include "plugins/routing/waitrule.h"
#include "requestqueue.h"
#include "seenrequests.h"
#include "slotreservation.h"

#include <array>
#include <string>
#include <vector>

namespace bluebellbarrow {

/** Limits of the target beside this node. */
struct AdmissionLimits {
  /** Requests that run at once. */
  size_t Slots = 10;

  /** Requests that wait at most. */
  size_t MaxQueued = 10;
};

/** Tuning of an Admission. */
struct AdmissionOptions {
  /** Share of its time left that a request may wait to be answered late. */
  double LateWaitShare = bluebellbarrow::DefaultLateWaitShare;

  /** The same for one that waits already, and is late by now. */
  double QueuedLateWaitShare = 1;
};

/** A request that asks for the target. */
struct AdmissionRequest {
  RequestKey Key;
  RouteName Route;

  /** Rank among requests that wait; 0 goes first. */
  int64_t Priority = 0;

  /** Time until which an answer is of full use. */
  TimePoint SoftDeadline;

  TimePoint Deadline;

  /** Time within which answers of the route are of full use. */
  Duration RouteLatencyObjective{};
};

/** What becomes of a request on arrival. */
enum class AdmissionDecision { Start, Queue, Refuse };

/** The answer to a request on arrival. */
struct AdmissionResult {
  AdmissionDecision Decision = AdmissionDecision::Refuse;

  /** Why it is refused; it has not run and will not. */
  std::string Reason;

  /** The request is known and its first copy decides; no answer is due. */
  bool Duplicate = false;

  /** Time after which a refused request may find room. */
  Duration RetryAfter{};
};

/** A request that left the queue. */
struct Dequeued {
  RequestKey Key;

  /** True to run it, false when it was given up and has not run. */
  bool Start = false;

  std::string Reason;

  /** Time after which one that was given up may find room. */
  Duration RetryAfter{};
};

/**
 * Lets requests to the target: so many at once, a line of those that can
 * still be answered in time, and nothing while the target drains. Refuses on
 * arrival what would wait in vain. Remembers each request, so that none starts
 * twice and a cancelled one never starts.
 *
 * Load pattern: more work than the target has slots, of several ranks, for
 * seconds (bursts) or as long as the node runs (too few targets).
 * A decision object. Thread safety: none; owned by one task.
 */
class Admission {
public:
  explicit Admission(AdmissionLimits Limits,
                     AdmissionOptions Tuning = AdmissionOptions());

  void setLimits(const AdmissionLimits &New) { this->Limits = New; }

  /** Takes nothing new, and starts nothing queued, while \a On. */
  void setDraining(bool On) { this->Draining = On; }

  /** Takes nothing that is expected to run beyond \a At. */
  void setCompletionCutoff(TimePoint At) { this->CompletionCutoff = At; }

  /** Starts nothing before \a Until; requests queue meanwhile. */
  void holdUntil(TimePoint Until) { this->HoldUntil = Until; }

  AdmissionResult admit(const AdmissionRequest &Request, TimePoint Now);

  /** A started request has ended. */
  void onFinished(const RequestKey &Key, TimePoint Now);

  /** A started request was not run by the target. */
  void onNotRun(const RequestKey &Key, TimePoint Now);

  /** Returns the requests that began to run unusually long; each once. */
  std::vector<RequestKey> detectOverdue(TimePoint Now);

  /** Returns the requests that start or are given up now. */
  std::vector<Dequeued> poll(TimePoint Now);

  /**
   * Cancels \a Key unless it has started; a request that was never seen will
   * be refused when it comes.
   */
  CancelState cancel(const RequestKey &Key, TimePoint Now);

  size_t running() const { return this->Running.size(); }

  size_t queued() const { return this->Queue.size(); }

  const AdmissionLimits &limits() const { return this->Limits; }

  /** Returns the target's usual time for a route, once it is known. */
  std::optional<Duration> meanServiceTime(const RouteName &Route) const {
    return this->ServiceTimes.mean(Route);
  }

  /**
   * Returns the time that a request of \a Priority would wait which can still
   * be answered in its aim.
   */
  Duration waitForPriority(int64_t Priority, TimePoint Now) const;

  /** Returns the waits that a LoadReport holds, in microseconds. */
  std::array<uint32_t, ReportedPriorities> reportedWaits(TimePoint Now) const;

private:
  struct RunningRequest {
    RequestKey Key;
    RouteName Route;
    Duration ServiceTime{};
    TimePoint StartTime;
    bool Overdue = false;
  };

  void start(const RequestKey &Key, const RouteName &Route, Duration Expected,
             TimePoint Now);
  bool mayStart(int64_t Priority, TimePoint Now) const;
  Duration timeToFreeSlot(const QueuedRequest &Request, TimePoint Now) const;
  Duration expectedWait(const QueuedRequest &Request, TimePoint Now) const;
  AdmissionResult decideQueueing(const QueuedRequest &Request, TimePoint Now);
  bool ensureQueueSpace(const QueuedRequest &Request, TimePoint Now);
  AdmissionResult shed(const QueuedRequest &Request, const std::string &Reason,
                       Duration RetryAfter, TimePoint Now);
  void dropQueued(const QueuedRequest &Request, const char *Reason,
                  Duration RetryAfter, TimePoint Now);
  void dropLate(TimePoint Now);
  AdmissionResult refuse(const RequestKey &Key, const std::string &Reason,
                         Duration RetryAfter, TimePoint Now);

  AdmissionLimits Limits;
  AdmissionOptions Options;
  SeenRequests Seen;
  RequestQueue Queue;
  ServiceTimeEstimator ServiceTimes;
  AdmittedLoad RecentLoad;
  SlotReservation Reservation;

  /** Requests that left the line unserved; poll() returns them. */
  std::vector<Dequeued> Dropped;

  std::vector<RunningRequest> Running;
  bool Draining = false;
  TimePoint NextLateCheck;
  TimePoint HoldUntil;
  TimePoint CompletionCutoff = TimePoint::max();
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_ADMISSION_ADMISSION_H
