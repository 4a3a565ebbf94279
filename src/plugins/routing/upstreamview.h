#ifndef BLUEBELLBARROW_ROUTING_UPSTREAMVIEW_H
#define BLUEBELLBARROW_ROUTING_UPSTREAMVIEW_H

#include "kernel/clock.h"
#include "plugins/membership/memberannouncement.h"
#include "plugins/peer/peermessages.h"
#include "tree/policy.h"
#include "tree/vmlist.h"

namespace bluebellbarrow {

/** How an attempt ended, as the router counts it. */
enum class AttemptResult {
  Succeeded,

  /** Refused by the upstream's node; says nothing about the target. */
  RefusedByNode,

  /** Refused by the target itself. */
  RefusedByTarget,

  /** The target answered with an error, or the outcome is unknown. */
  Failed,

  /** No connection to the upstream's node. */
  Unreachable,

  /** Ended for a reason that lies with the caller. */
  Abandoned,
};

/**
 * What this node has seen of one upstream: the load that its node reports,
 * what was sent since, how fast it is, and how its calls ended.
 *
 * Thread safety: none; owned by one task.
 */
class UpstreamView {
public:
  /** \a Known is false for a target that joined while this node ran. */
  UpstreamView(const Vm &Upstream, bool Known, TimePoint Now);

  /** Takes the upstream's state in a new list. */
  void update(const Vm &Upstream) { this->Listed = Upstream; }

  const Vm &listed() const { return this->Listed; }

  /** Takes the load that the upstream's node reports. */
  void onLoad(const LoadReport &Load, TimePoint Now);

  /** Takes the node's own announcement. */
  void onAnnouncement(const MemberAnnouncement &Announced);

  void onSent(TimePoint Now);

  /** \pre onSent() was called for this attempt. */
  void onAttemptEnd(AttemptResult End, TimePoint Now);

  /**
   * A run took \a Took where the usual time of its route is \a Usual. \a IsMean
   * says that \a Took is the mean of many runs.
   */
  void onServiceTime(Duration Took, Duration Usual, bool IsMean);

  /** Returns true unless it said that it takes nothing new. */
  bool acceptsRequests() const;

  /** Its node does not answer, or was heard again. */
  void setUnresponsive(bool On) { this->Unresponsive = On; }

  /** Returns true while it is left out for its failures or its silence. */
  bool ejected(TimePoint Now) const {
    return this->Unresponsive || Now < this->EjectedUntil;
  }

  /** Returns its work per slot; above 1 requests wait. */
  double load(const Policy &Rules, TimePoint Now) const;

  /** Returns the time that a request would wait there. */
  Duration expectedWait(const Policy &Rules, Duration Run, TimePoint Now) const;

  /** Returns its time for a request that usually takes \a Usual. */
  Duration expectedServiceTime(Duration Usual, const Policy &Rules,
                               TimePoint Now) const;

  double errorRate() const { return this->ErrorRate; }

  int64_t inFlight() const { return this->InFlight; }

  /** Returns when this node sent to it last. */
  TimePoint lastSent() const { return this->LastSent; }

  TimePoint firstSeen() const { return this->FirstSeen; }

private:
  void eject(Duration First, TimePoint Now);
  double slots(const Policy &Rules) const;
  double outstandingRequests(TimePoint Now) const;
  double slowStartFactor(const Policy &Rules, TimePoint Now) const;

  Vm Listed;
  LoadReport Load;
  TimePoint LoadTime;
  MemberAnnouncement Announced;
  TimePoint FirstSeen;
  TimePoint LastSent;
  TimePoint EjectedUntil;
  int64_t InFlight = 0;

  /** Requests sent after the last report. */
  int64_t SentSinceReport = 0;

  int ConsecutiveFailures = 0;
  int Ejections = 0;
  double ErrorRate = 0;

  /** Time of its runs relative to the usual one. */
  double Slowness = 1;

  bool Unresponsive = false;
  bool HasLoad = false;
  bool HasAnnouncement = false;

  /** Was listed when this node started, so it is not taken for cold. */
  bool KnownAtStart = false;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_ROUTING_UPSTREAMVIEW_H
