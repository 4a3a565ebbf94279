#ifndef BLUEBELLBARROW_ROUTING_ROUTER_H
#define BLUEBELLBARROW_ROUTING_ROUTER_H

#include "balancer.h"
#include "kernel/clock.h"
#include "responsesizes.h"
#include "servicetimeestimator.h"
#include "tree/snapshot.h"
#include "upstreamview.h"

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <unordered_map>

namespace bluebellbarrow {

/** The properties of a request that the choice of an upstream depends on. */
struct RoutingContext {
  const ServiceEntry *Service = nullptr;
  const Policy *RoutePolicy = nullptr;
  RouteName Route;

  /** A response after it is worth less. */
  TimePoint SoftDeadline;

  TimePoint Deadline;

  /** Bytes of the request body. */
  size_t BodyBytes = 0;
};

/** A request that a target has responded to. */
struct FinishedRequest {
  RouteName Route;

  /** Latency objective of the route. */
  Duration LatencyObjective{};

  /** Service time of this request. */
  Duration ServiceTime{};

  /** Mean service time of the route, as measured by the upstream's node. */
  std::optional<Duration> MeanServiceTime;

  /** Bytes of the response body. */
  size_t ResponseBytes = 0;
};

/**
 * Chooses an upstream for each call: skips those that drain, skips ejected ones
 * (failed recently, unreachable or unresponsive) while enough others remain,
 * and lets the route's balancer choose among the rest.
 *
 * Thread safety: none; owned by one task.
 */
class Router {
public:
  Router(VmName Self, uint64_t Seed);

  /** Applies the upstreams of a new snapshot. */
  void setSnapshot(std::shared_ptr<const Snapshot> New, TimePoint Now);

  /** Applies the announcement of a node. */
  void onAnnouncement(const MemberAnnouncement &Announcement);

  /** Applies the load report of the node on \a Name. */
  void onLoad(const VmName &Name, const LoadReport &Load, TimePoint Now);

  /** Sets whether the node on \a Name is unresponsive. */
  void setUnresponsive(const VmName &Name, bool Unresponsive);

  /**
   * Returns an upstream for \a Request that is not in \a Excluded, or null when
   * none accepts requests. If \a Excluded is not empty, returns null also when
   * only ejected upstreams remain, and when the request would wait too long at
   * the chosen upstream, because another refusal would cost two messages.
   */
  const Vm *pick(const RoutingContext &Request,
                 std::span<const UpstreamId> Excluded, TimePoint Now);

  /** Returns the owner of \a Key; null for a service without upstreams. */
  const Vm *ownerOf(const ServiceEntry &Service, const std::string &Key) const;

  void onSent(const UpstreamId &Id, TimePoint Now);

  /** \pre onSent() was called for this attempt. */
  void onAttemptEnd(const UpstreamId &Id, AttemptResult Result, TimePoint Now);

  /** Called when the target of \a Id has responded to a request. */
  void onRequestFinished(const UpstreamId &Id, const FinishedRequest &Request);

  /** Returns the mean size of the bodies of a route's responses, in bytes. */
  double meanResponseBytes(const RouteName &Route) const {
    return this->Sizes.mean(Route);
  }

  /** Returns the mean service time of a route over all upstreams. */
  Duration meanServiceTime(const RouteName &Route,
                           Duration LatencyObjective) const {
    return this->ServiceTimes.estimate(Route, LatencyObjective).Mean;
  }

  /** Returns the number of ejected upstreams. */
  size_t ejectedCount(TimePoint Now) const;

  /** Returns the number of upstreams by Exclusion. */
  std::array<size_t, ExclusionCount> countByExclusion(TimePoint Now) const;

private:
  UpstreamView *find(const UpstreamId &Id);
  UpstreamCandidate makeCandidate(const Vm &Upstream, const UpstreamView &View,
                                  const RoutingContext &Request,
                                  TimePoint Now) const;
  Balancer &findBalancer(const std::string &Name) const;

  /** Returns the service's upstreams in the newest VM list. */
  const std::vector<Vm> &currentUpstreams(const ServiceEntry &Service) const;

  VmName Self;
  std::mt19937_64 Random;
  std::shared_ptr<const Snapshot> CurrentSnapshot;
  std::map<UpstreamId, UpstreamView> Views;
  ServiceTimeEstimator ServiceTimes;
  ResponseSizes Sizes;
  std::map<std::string, std::unique_ptr<Balancer>> Balancers;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_ROUTING_ROUTER_H
