#ifndef BLUEBELLBARROW_ROUTING_UPSTREAMVIEW_H
#define BLUEBELLBARROW_ROUTING_UPSTREAMVIEW_H

#include "kernel/clock.h"
#include "plugins/membership/memberannouncement.h"
#include "plugins/peer/peermessages.h"
#include "tree/policy.h"
#include "tree/vmlist.h"

namespace bluebellbarrow {

/** How an attempt ended, as the router counts it. */
enum class AttemptEnd {
  Good,

  /** Refused by the upstream's node; says nothing about the target. */
  Refused,

  /** Refused by the target itself. */
  Shed,

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
  void onEnd(AttemptEnd End, TimePoint Now);

  /**
   * A run took \a Took where the usual time of its route is \a Usual. \a IsMean
   * says that \a Took is the mean of many runs.
   */
  void onRun(Duration Took, Duration Usual, bool IsMean);

  /** Returns true unless it said that it takes nothing new. */
  bool takesWork() const;

  /** Its node does not answer, or was heard again. */
  void setSilent(bool On) { this->Silent = On; }

  /** Returns true while it is left out for its failures or its silence. */
  bool ejected(TimePoint Now) const {
    return this->Silent || Now < this->EjectedUntil;
  }

  /** Returns its work per slot; above 1 requests wait. */
  double load(const Policy &Rules, TimePoint Now) const;

  /** Returns the time that a request would wait there. */
  Duration wait(const Policy &Rules, Duration Run, TimePoint Now) const;

  /** Returns its time for a request that usually takes \a Usual. */
  Duration run(Duration Usual, const Policy &Rules, TimePoint Now) const;

  double errorRate() const { return this->ErrorRate; }

  int64_t inFlight() const { return this->InFlight; }

  /** Returns when this node sent to it last. */
  TimePoint lastSent() const { return this->LastSent; }

  TimePoint firstSeen() const { return this->FirstSeen; }

private:
  void eject(Duration First, TimePoint Now);
  double slots(const Policy &Rules) const;
  double work(TimePoint Now) const;
  double warmth(const Policy &Rules, TimePoint Now) const;

  Vm Listed;
  LoadReport Load;
  TimePoint LoadTime;
  MemberAnnouncement Announced;
  TimePoint FirstSeen;
  TimePoint LastSent;
  TimePoint EjectedUntil;
  int64_t InFlight = 0;

  /** Requests sent after the last report. */
  int64_t SentSince = 0;

  int FailuresInRow = 0;
  int Ejections = 0;
  double ErrorRate = 0;

  /** Time of its runs relative to the usual one. */
  double Slowness = 1;

  bool Silent = false;
  bool HasLoad = false;
  bool HasAnnouncement = false;

  /** Was listed when this node started, so it is not taken for cold. */
  bool Known = false;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_ROUTING_UPSTREAMVIEW_H
