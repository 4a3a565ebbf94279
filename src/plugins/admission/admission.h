#ifndef BLUEBELLBARROW_ADMISSION_ADMISSION_H
#define BLUEBELLBARROW_ADMISSION_ADMISSION_H

#include "admittedload.h"
#include "capacitycontroller.h"
#include "coldstartlimiter.h"
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

/** Limits of the local target. */
struct AdmissionLimits {
  /** Maximum number of concurrent requests. */
  size_t Slots = 10;

  /** Maximum number of queued requests. */
  size_t MaxQueued = 10;

  /** Fewer requests run at once if the target takes fewer well. */
  bool MeasuresCapacity = false;

  /** What the target takes while it is cold. */
  ColdStartLimits Cold;
};

/** Tuning of an Admission. */
struct AdmissionOptions {
  /** Share of its remaining time for which a late request may be queued. */
  double LateWaitShare = bluebellbarrow::DefaultLateWaitShare;

  /** The same for a request that became late in the queue. */
  double QueuedLateWaitShare = 1;
};

/** A request for the local target. */
struct AdmissionRequest {
  RequestKey Key;
  RouteName Route;

  /** Order in the queue; 0 first. */
  int64_t Priority = 0;

  /** A response after it is worth less. */
  TimePoint SoftDeadline;

  TimePoint Deadline;

  /** Latency objective of the route. */
  Duration LatencyObjective{};
};

/** What is done with a request on arrival. */
enum class AdmissionDecision { Start, Queue, Refuse };

/** The decision on a request on arrival. */
struct AdmissionResult {
  AdmissionDecision Decision = AdmissionDecision::Refuse;

  /** Why the request is refused; it has not run and will not run. */
  std::string Reason;

  /** The request is a repeat; only its first copy is replied to. */
  bool Duplicate = false;

  /** Time after which a refused request may be retried. */
  Duration RetryAfter{};
};

/** A request that was removed from the queue. */
struct Dequeued {
  RequestKey Key;

  /** True to run it, false if it was dropped and has not run. */
  bool Start = false;

  std::string Reason;

  /** Time after which a dropped request may be retried. */
  Duration RetryAfter{};
};

/**
 * Admission control of the local target: limits concurrent requests, queues
 * those that can still be answered in time, and starts none while the target
 * drains. Sheds requests on arrival that would wait too long. Remembers each
 * request, so that none starts twice and a cancelled one never starts.
 *
 * Load pattern: more load than the target has slots, of several priorities, for
 * seconds (bursts) or as long as the node runs (too few targets).
 *
 * Makes decisions only and performs no I/O. Thread safety: none; owned by one
 * task.
 */
class Admission {
public:
  /** \a Now is the time of the start of the process. */
  explicit Admission(AdmissionLimits Limits,
                     AdmissionOptions Options = AdmissionOptions(),
                     TimePoint Now = TimePoint());

  void setLimits(const AdmissionLimits &New) {
    this->Limits = New;
    this->ColdStart.setLimits(New.Cold);
    this->Capacity.setSlots(std::max<size_t>(1, New.Slots));
  }

  /** Forgets what was measured of the target, which has started again. */
  void onTargetRestarted() { this->Capacity.reset(); }

  /** Returns how many requests may run at once now, at most the slots. */
  size_t capacity() const { return this->CurrentCapacity; }

  /** While \a On, refuses new requests and drops queued ones. */
  void setDraining(bool On) { this->Draining = On; }

  /** As setDraining(), while the target's failure domain is evacuated. */
  void setEvacuated(bool On) { this->Evacuated = On; }

  /** Returns true while no request is accepted. */
  bool isClosed() const { return this->closedReason() != nullptr; }

  /** Returns the limiter of a cold target, which is told of its probes. */
  ColdStartLimiter &coldStart() { return this->ColdStart; }

  /** Refuses requests that are expected to complete after \a At. */
  void setCompletionCutoff(TimePoint At) { this->CompletionCutoff = At; }

  /** Starts no request before \a Until; requests queue meanwhile. */
  void holdDownUntil(TimePoint Until) { this->HoldDownUntil = Until; }

  AdmissionResult admit(const AdmissionRequest &Request, TimePoint Now);

  /** Called when a started request has completed. */
  void onFinished(const RequestKey &Key, TimePoint Now);

  /** Called when the target did not run a started request. */
  void onNotRun(const RequestKey &Key, TimePoint Now);

  /** Returns the requests that became overdue; each is returned once. */
  std::vector<RequestKey> detectOverdue(TimePoint Now);

  /** Returns the queued requests that start now or are dropped. */
  std::vector<Dequeued> poll(TimePoint Now);

  /**
   * Cancels \a Key unless it has started. A request that has not arrived yet is
   * refused on arrival.
   */
  CancelState cancel(const RequestKey &Key, TimePoint Now);

  size_t running() const { return this->Running.size(); }

  size_t queued() const { return this->Queue.size(); }

  const AdmissionLimits &limits() const { return this->Limits; }

  /** Returns the mean service time of a route, once it has been measured. */
  std::optional<Duration> meanServiceTime(const RouteName &Route) const {
    return this->ServiceTimes.mean(Route);
  }

  /**
   * Returns the expected wait of a new request of \a Priority, behind all
   * queued requests of that priority.
   */
  Duration waitForPriority(int64_t Priority, TimePoint Now) const;

  /** Returns the expected waits for a LoadReport, in microseconds. */
  std::array<uint32_t, ReportedPriorities> reportedWaits(TimePoint Now) const;

private:
  struct RunningRequest {
    RequestKey Key;
    RouteName Route;
    Duration ServiceTime{};
    TimePoint StartTime;

    /** Requests that ran when it started, with it. */
    size_t RunningAtStart = 0;

    bool Overdue = false;
  };

  void start(const RequestKey &Key, const RouteName &Route,
             Duration ServiceTime, TimePoint Now);
  bool mayStart(int64_t Priority, TimePoint Now) const;

  /** Measures the capacity by a request that has completed. */
  void measureCapacity(const RunningRequest &Finished, TimePoint Now);

  void updateCapacity(TimePoint Now);

  /** Returns why no request is accepted; null while requests are. */
  const char *closedReason() const;

  Duration timeToFreeSlot(const QueuedRequest &Request, TimePoint Now) const;
  Duration expectedWait(const QueuedRequest &Request, TimePoint Now) const;
  AdmissionResult decideQueueing(const QueuedRequest &Request, TimePoint Now);
  bool ensureQueueSpace(const QueuedRequest &Request, TimePoint Now);
  AdmissionResult shed(const QueuedRequest &Request, const std::string &Reason,
                       Duration RetryAfter, TimePoint Now);
  void recordDropped(const QueuedRequest &Request, const char *Reason,
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

  /** Requests dropped from the queue; poll() returns them. */
  std::vector<Dequeued> Dropped;

  std::vector<RunningRequest> Running;
  ColdStartLimiter ColdStart;
  CapacityController Capacity;
  size_t CurrentCapacity;
  bool Draining = false;
  bool Evacuated = false;
  TimePoint NextLateCheck;
  TimePoint HoldDownUntil;
  TimePoint CompletionCutoff = TimePoint::max();
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_ADMISSION_ADMISSION_H
