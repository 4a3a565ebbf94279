#ifndef BLUEBELLBARROW_ROUTING_ROUTER_H
#define BLUEBELLBARROW_ROUTING_ROUTER_H

#include "balancer.h"
#include "kernel/clock.h"
#include "servicetimeestimator.h"
#include "tree/snapshot.h"
#include "upstreamview.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <unordered_map>

namespace bluebellbarrow {

/** What the choice of an upstream depends on. */
struct RoutingContext {
  const ServiceEntry *Service = nullptr;
  const Policy *RoutePolicy = nullptr;
  RouteName Route;

  /** Time until which an answer is of full use. */
  TimePoint SoftDeadline;

  TimePoint Deadline;

  /** Bytes of its body. */
  size_t BodyBytes = 0;
};

/** A request that a target has answered. */
struct FinishedRequest {
  RouteName Route;

  /** Time within which answers of the route are of full use. */
  Duration LatencyObjective{};

  /** Time that the target took. */
  Duration ServiceTime{};

  /** Time that it usually takes for the route, as its node has seen. */
  std::optional<Duration> MeanServiceTime;

  /** Bytes of the answer's body. */
  size_t ResponseBytes = 0;
};

/**
 * Knows what this node has seen of each upstream and picks one for a call:
 * leaves out those that drain, that failed lately or can't be reached, and
 * lets the route's balancer choose among the rest.
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

  /** Takes the load that the node on \a Name reports of its target. */
  void onLoad(const VmName &Name, const LoadReport &Load, TimePoint Now);

  /** The node on \a Name does not answer, or was heard again. */
  void setUnresponsive(const VmName &Name, bool Silent);

  /**
   * Returns an upstream for \a Request that is not in \a Excluded, or null
   * when none takes work. Null also for a request that was refused before and
   * would wait too long at the best one left: asking it costs two messages.
   */
  const Vm *pick(const RoutingContext &Request,
                 std::span<const UpstreamId> Excluded, TimePoint Now);

  /** Returns the upstream that owns \a Key; null for a service without any. */
  const Vm *ownerOf(const ServiceEntry &Service, const std::string &Key) const;

  void onSent(const UpstreamId &Id, TimePoint Now);

  /** \pre onSent() was called for this attempt. */
  void onAttemptEnd(const UpstreamId &Id, AttemptResult End, TimePoint Now);

  /** The target of \a Id answered a request. */
  void onRequestFinished(const UpstreamId &Id, const FinishedRequest &Run);

  /** Returns the upstreams that are left out now. */
  size_t ejectedCount(TimePoint Now) const;

private:
  UpstreamView *find(const UpstreamId &Id);
  Candidate makeCandidate(const Vm &Upstream, const UpstreamView &View,
                          const RoutingContext &Request, TimePoint Now) const;
  Balancer &findBalancer(const std::string &Name) const;

  /** Returns the upstreams of the newest list, which may have changed since. */
  const std::vector<Vm> &currentUpstreams(const ServiceEntry &Service) const;

  VmName Self;
  std::mt19937_64 Random;
  std::shared_ptr<const Snapshot> Current;
  std::map<UpstreamId, UpstreamView> Views;
  ServiceTimeEstimator ServiceTimes;
  std::unordered_map<RouteName, double> MeanResponseBytes;
  std::map<std::string, std::unique_ptr<Balancer>> Balancers;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_ROUTING_ROUTER_H
