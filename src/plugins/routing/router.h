#ifndef BLUEBELLBARROW_ROUTING_ROUTER_H
#define BLUEBELLBARROW_ROUTING_ROUTER_H

#include "balancer.h"
#include "kernel/clock.h"
#include "plugins/peer/peermessages.h"
#include "tree/snapshot.h"

#include <map>
#include <memory>
#include <random>
#include <span>
#include <string>

namespace bluebellbarrow {

/** How an attempt ended, as the router counts it. */
enum class AttemptEnd {
  Good,

  /** Refused before it ran; says nothing about the target's health. */
  Refused,

  /** The target answered with an error, or the outcome is unknown. */
  Failed,

  /** No connection to the upstream's node. */
  Unreachable,

  /** Ended for a reason that lies with the caller. */
  Abandoned,
};

/**
 * Knows what this node has seen of each upstream and picks one for a call:
 * leaves out those that drain, that failed lately or can't be reached, and
 * lets the service's balancer choose among the rest.
 *
 * Thread safety: none; owned by one task.
 */
class Router {
public:
  Router(VmName Self, uint64_t Seed);

  /** Takes the endpoints of a new snapshot. */
  void setSnapshot(std::shared_ptr<const Snapshot> New, TimePoint Now);

  /** Takes a node's own announcement. */
  void onAnnouncement(const MemberAnnouncement &Announced);

  /** Takes the load of an upstream that came with a reply. */
  void onLoad(const VmName &Name, const LoadReport &Load, TimePoint Now);

  /**
   * Returns an upstream of \a Service that is not in \a Excluded, or null
   * when none takes work.
   */
  const Vm *pick(const ServiceEntry &Service, const Policy &Rules,
                 std::span<const VmName> Excluded, TimePoint Now);

  /** Returns the upstream that owns \a Key; null for a service without any. */
  static const Vm *ownerOf(const ServiceEntry &Service, const std::string &Key);

  void onSent(const VmName &Name);

  /** \pre onSent() was called for this attempt. */
  void onEnd(const VmName &Name, AttemptEnd End, TimePoint Now);

  /** Returns the upstreams that are left out now. */
  size_t ejectedCount(TimePoint Now) const;

private:
  struct View {
    LoadReport Load;
    TimePoint LoadTime;
    TimePoint FirstSeen;
    TimePoint EjectedUntil;
    MemberAnnouncement Announced;
    int64_t InFlight = 0;
    int FailuresInRow = 0;
    int Ejections = 0;
    double ErrorRate = 0;
    bool HasAnnouncement = false;

    /** Present before the first snapshot was replaced; not cold. */
    bool Warm = false;
  };

  bool takesWork(const Vm &Upstream) const;
  Candidate candidate(const Vm &Upstream, const View &Known,
                      const Policy &Rules, TimePoint Now) const;
  void eject(View &Target, Duration First, TimePoint Now);

  VmName Self;
  std::mt19937_64 Random;
  std::shared_ptr<const Snapshot> Current;
  std::map<VmName, View> Views;
  std::map<std::string, std::unique_ptr<Balancer>> Balancers;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_ROUTING_ROUTER_H
