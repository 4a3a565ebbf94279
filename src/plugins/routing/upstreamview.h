#ifndef BLUEBELLBARROW_ROUTING_UPSTREAMVIEW_H
#define BLUEBELLBARROW_ROUTING_UPSTREAMVIEW_H

#include "kernel/clock.h"
#include "plugins/membership/memberannouncement.h"
#include "plugins/peer/peermessages.h"
#include "tree/policy.h"
#include "tree/vmlist.h"

#include <array>

namespace bluebellbarrow {

/** Outcome of an attempt as far as the choice of upstreams depends on it. */
enum class AttemptResult {
  Succeeded,

  /** Refused by the upstream's node; says nothing about the target. */
  RefusedByNode,

  /** Refused by the target itself. */
  RefusedByTarget,

  /** The target responded with an error, or the outcome is unknown. */
  Failed,

  /** No connection to the upstream's node. */
  Unreachable,

  /**
   * Cancelled by this node: the caller disconnected, or another attempt
   * was answered first.
   */
  Abandoned,
};

/** Why an upstream gets no requests at all. */
enum class Exclusion {
  None,

  /** The platform lists its target as leaving. */
  ListedAsLeaving,

  /** Its node has announced that it does not serve. */
  AnnouncedState,

  /** A load report of its node has just said that it does not serve. */
  ReportedState,

  /** The operators have evacuated its failure domain. */
  Evacuated,
};

inline constexpr size_t ExclusionCount = 5;

/** Returns the name of \a Cause for metrics. */
const char *exclusionName(Exclusion Cause);

/**
 * What this node has observed of one upstream: the load that its node reports,
 * the requests sent since, its speed, and the outcomes of its calls.
 *
 * Thread safety: none; owned by one task.
 */
class UpstreamView {
public:
  /**
   * \a KnownAtStart is false for an upstream that was added after this node's
   * first snapshot.
   */
  UpstreamView(const Vm &Upstream, bool KnownAtStart, TimePoint Now);

  /**
   * Applies the upstream's entry in a new VM list. If its target has started
   * again, what was observed of the earlier process is forgotten.
   */
  void update(const Vm &Upstream, TimePoint Now);

  const Vm &vm() const { return this->ListedVm; }

  /** Applies a load report of the upstream's node. */
  void onLoad(const LoadReport &Report, TimePoint Now);

  /**
   * Applies an announcement of the upstream's node; ignores older ones. One of
   * a node that has started again ends the effect of its earlier reports.
   */
  void onAnnouncement(const MemberAnnouncement &Received);

  void onSent(TimePoint Now);

  /** \pre onSent() was called for this attempt. */
  void onAttemptEnd(AttemptResult Result, TimePoint Now);

  /**
   * Applies a measured service time. \a RouteMean is the mean of the route over
   * all upstreams. \a IsMean is true if \a ServiceTime is the mean of
   * many requests.
   */
  void onServiceTime(Duration ServiceTime, Duration RouteMean, bool IsMean);

  /** Returns why the upstream is known to refuse new requests. */
  Exclusion exclusion(TimePoint Now) const;

  bool acceptsRequests(TimePoint Now) const {
    return this->exclusion(Now) == Exclusion::None;
  }

  /** Sets whether its node is unresponsive. */
  void setUnresponsive(bool On) { this->Unresponsive = On; }

  /** Returns true while it is ejected for failures or is unresponsive. */
  bool ejected(TimePoint Now) const {
    return this->Unresponsive || Now < this->EjectedUntil;
  }

  /**
   * Returns requests per slot, including a new one; above 1 requests queue.
   * Higher during slow start.
   */
  double load(const Policy &RoutePolicy, TimePoint Now) const;

  /** Returns the expected time of a request in its queue. */
  Duration expectedWait(const Policy &RoutePolicy, Duration ServiceTime,
                        TimePoint Now) const;

  /**
   * Returns \a Baseline, a service time over all upstreams, scaled to this
   * upstream's speed; longer while it is cold or in slow start.
   */
  Duration expectedServiceTime(Duration Baseline, const Policy &RoutePolicy,
                               TimePoint Now) const;

  /**
   * Returns the expected time in which the link of its VM carries a response of
   * \a Bytes, behind the long ones that it owes; zero for a short response.
   */
  Duration expectedLinkTime(double Bytes, TimePoint Now) const;

  double errorRate() const { return this->ErrorRate; }

  int64_t inFlight() const { return this->InFlight; }

  /** Returns the time of the last request sent to it. */
  TimePoint lastSent() const { return this->LastSent; }

  TimePoint firstSeen() const { return this->FirstSeen; }

private:
  void eject(Duration BaseDuration, TimePoint Now);
  void forgetReports();
  void forgetFailures();
  double slots(const Policy &RoutePolicy) const;
  double outstandingRequests(TimePoint Now) const;

  /** Returns the weight of the last load report against the mean of all. */
  double reportWeight(TimePoint Now) const;

  double slowStartFactor(const Policy &RoutePolicy, TimePoint Now) const;

  Vm ListedVm;
  LoadReport LastReport;
  TimePoint LastReportTime;

  /** Until then the state in the last report excludes the upstream. */
  TimePoint ReportedStateUntil;

  /** Moving mean of the running and queued requests in load reports. */
  double MeanOutstanding = 0;

  /** Moving means of the expected waits in load reports, in microseconds. */
  std::array<double, ReportedPriorities> MeanWaitMicros{};

  /** The same of the times that the link needs for what it owes. */
  double MeanLinkWaitMicros = 0;

  MemberAnnouncement Announcement;
  TimePoint FirstSeen;

  /** End of the warm-up time that is listed. */
  TimePoint ColdUntil;

  TimePoint LastSent;
  TimePoint EjectedUntil;
  int64_t InFlight = 0;

  /** Requests sent after the last load report. */
  int64_t SentSinceReport = 0;

  int ConsecutiveFailures = 0;
  int Ejections = 0;
  double ErrorRate = 0;

  /** Its service times relative to their routes' means. */
  double ServiceTimeRatio = 1;

  bool Unresponsive = false;
  bool HasReport = false;
  bool HasAnnouncement = false;

  /** Was in this node's first snapshot, so it gets no slow start. */
  bool KnownAtStart = false;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_ROUTING_UPSTREAMVIEW_H
