#include "router.h"

#include "kernel/hashing.h"
#include "waitrule.h"

#include <algorithm>
#include <set>
#include <vector>

namespace bluebellbarrow {

namespace {

constexpr const char *DefaultBalancer = "two-choices";

bool contains(std::span<const UpstreamId> Ids, const UpstreamId &Id) {
  return std::find(Ids.begin(), Ids.end(), Id) != Ids.end();
}

} // namespace

Router::Router(VmName Self, uint64_t Seed)
    : Self(std::move(Self)), Random(Seed) {
  const BalancerRegistry &Registered = BalancerRegistry::instance();
  for (const std::string &Name : Registered.names())
    this->Balancers.emplace(Name, Registered.create(Name));
}

void Router::setSnapshot(std::shared_ptr<const Snapshot> New, TimePoint Now) {
  const bool IsFirst = this->CurrentSnapshot == nullptr;
  this->CurrentSnapshot = std::move(New);
  std::set<UpstreamId> Listed;
  for (const ServiceEntry &Service : this->CurrentSnapshot->Services)
    for (const Vm &Upstream : Service.Upstreams) {
      Listed.insert(Upstream.id());
      const auto [Position, Inserted] =
          this->Views.try_emplace(Upstream.id(), Upstream, IsFirst, Now);
      if (!Inserted)
        Position->second.update(Upstream, Now);
    }
  std::erase_if(this->Views, [&Listed](const auto &Entry) {
    return !Listed.contains(Entry.first) && Entry.second.inFlight() == 0;
  });
}

UpstreamView *Router::find(const UpstreamId &Id) {
  const auto Found = this->Views.find(Id);
  return Found == this->Views.end() ? nullptr : &Found->second;
}

void Router::onAnnouncement(const MemberAnnouncement &Announcement) {
  for (auto &[Id, View] : this->Views)
    if (Id.Name == Announcement.Name)
      View.onAnnouncement(Announcement);
}

void Router::onLoad(const VmName &Name, const LoadReport &Load, TimePoint Now) {
  if (UpstreamView *View = this->find({.Name = Name, .Target = Load.Target}))
    View->onLoad(Load, Now);
}

void Router::setUnresponsive(const VmName &Name, bool Unresponsive) {
  for (auto &[Id, View] : this->Views)
    if (Id.Name == Name)
      View.setUnresponsive(Unresponsive);
}

UpstreamCandidate Router::makeCandidate(const Vm &Upstream,
                                        const UpstreamView &View,
                                        const RoutingContext &Request,
                                        TimePoint Now) const {
  const Policy &RoutePolicy = *Request.RoutePolicy;
  const ServiceTimeEstimate Estimate = this->ServiceTimes.estimate(
      Request.Route, effectiveLatencyObjective(RoutePolicy));
  const Duration ServiceTime =
      View.expectedServiceTime(Estimate.Mean, RoutePolicy, Now);
  const double ResponseBytes = this->meanResponseBytes(Request.Route);
  return {.Upstream = &Upstream,
          .Load = View.load(RoutePolicy, Now),
          .ExpectedWait = View.expectedWait(RoutePolicy, ServiceTime, Now) +
                          View.expectedLinkTime(ResponseBytes, Now),
          .ServiceTime = ServiceTime,
          .ServiceTimeDeviation =
              View.expectedServiceTime(Estimate.Deviation, RoutePolicy, Now),
          .TimeToSoftDeadline = Request.SoftDeadline - Now,
          .TimeToDeadline = Request.Deadline - Now,
          .ExpectedBytes =
              static_cast<double>(Request.BodyBytes) + ResponseBytes,
          .ErrorRate = View.errorRate(),
          .IsLocal = Upstream.Name == this->Self,
          .InSameDomain = Upstream.Domain == this->CurrentSnapshot->Domain};
}

Balancer &Router::findBalancer(const std::string &Name) const {
  const auto Found = this->Balancers.find(Name);
  return Found == this->Balancers.end() ? *this->Balancers.at(DefaultBalancer)
                                        : *Found->second;
}

const Vm *Router::pick(const RoutingContext &Request,
                       std::span<const UpstreamId> Excluded, TimePoint Now) {
  const Policy &RoutePolicy = *Request.RoutePolicy;
  std::vector<UpstreamCandidate> Candidates;
  std::vector<UpstreamCandidate> Ejected;
  for (const Vm &Upstream : this->currentUpstreams(*Request.Service)) {
    const UpstreamView *View = this->find(Upstream.id());
    if (View == nullptr || contains(Excluded, Upstream.id()) ||
        !View->acceptsRequests(Now))
      continue;
    std::vector<UpstreamCandidate> &Group =
        View->ejected(Now) ? Ejected : Candidates;
    Group.push_back(this->makeCandidate(Upstream, *View, Request, Now));
  }
  // A request that was attempted before is better retried later by its caller
  // than sent to an ejected upstream.
  if (Candidates.empty() && !Excluded.empty())
    return nullptr;
  const size_t Total = Candidates.size() + Ejected.size();
  const double MaxEjected = RoutePolicy.MaxEjected * static_cast<double>(Total);
  if (static_cast<double>(Ejected.size()) > MaxEjected || Candidates.empty())
    Candidates.insert(Candidates.end(), Ejected.begin(), Ejected.end());
  if (Candidates.empty())
    return nullptr;
  Balancer &RouteBalancer = this->findBalancer(RoutePolicy.BalancerName);
  const UpstreamCandidate &Best =
      Candidates[RouteBalancer.choose(Candidates, this->Random)];
  const bool WaitsTooLong =
      !shouldWait(Best.ExpectedWait, Best.ServiceTime,
                  {.ToSoftDeadline = Best.TimeToSoftDeadline,
                   .ToDeadline = Best.TimeToDeadline});
  return WaitsTooLong && !Excluded.empty() ? nullptr : Best.Upstream;
}

const std::vector<Vm> &
Router::currentUpstreams(const ServiceEntry &Service) const {
  const ServiceEntry *Newest = this->CurrentSnapshot->findService(Service.Name);
  return Newest == nullptr ? Service.Upstreams : Newest->Upstreams;
}

const Vm *Router::ownerOf(const ServiceEntry &Service,
                          const std::string &Key) const {
  const std::vector<Vm> &Upstreams = this->currentUpstreams(Service);
  const auto Owner = std::max_element(
      Upstreams.begin(), Upstreams.end(), [&Key](const Vm &A, const Vm &B) {
        return rendezvousWeight(Key, A.Name.str()) <
               rendezvousWeight(Key, B.Name.str());
      });
  return Owner == Upstreams.end() ? nullptr : &*Owner;
}

void Router::onSent(const UpstreamId &Id, TimePoint Now) {
  if (UpstreamView *View = this->find(Id))
    View->onSent(Now);
}

void Router::onAttemptEnd(const UpstreamId &Id, AttemptResult Result,
                          TimePoint Now) {
  if (UpstreamView *View = this->find(Id))
    View->onAttemptEnd(Result, Now);
}

void Router::onRequestFinished(const UpstreamId &Id,
                               const FinishedRequest &Request) {
  const Duration RouteMean =
      this->ServiceTimes.estimate(Request.Route, Request.LatencyObjective).Mean;
  if (UpstreamView *View = this->find(Id))
    View->onServiceTime(Request.MeanServiceTime.value_or(Request.ServiceTime),
                        RouteMean, Request.MeanServiceTime.has_value());
  this->ServiceTimes.add(Request.Route, Request.ServiceTime);
  this->Sizes.add(Request.Route, Request.ResponseBytes);
}

size_t Router::ejectedCount(TimePoint Now) const {
  return static_cast<size_t>(std::count_if(
      this->Views.begin(), this->Views.end(),
      [Now](const auto &Entry) { return Entry.second.ejected(Now); }));
}

std::array<size_t, ExclusionCount>
Router::countByExclusion(TimePoint Now) const {
  std::array<size_t, ExclusionCount> Counts{};
  for (const auto &[Id, View] : this->Views)
    Counts.at(static_cast<size_t>(View.exclusion(Now))) += 1;
  return Counts;
}

} // namespace bluebellbarrow
