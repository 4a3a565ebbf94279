#include "router.h"

#include "kernel/hashing.h"
#include "waitrule.h"

#include <algorithm>
#include <set>
#include <vector>

namespace bluebellbarrow {

namespace {

constexpr const char *DefaultBalancer = "two-choices";

/** Weight of the newest answer in the mean size of a route's answers. */
constexpr double BytesWeight = 0.05;

bool contains(std::span<const UpstreamId> Ids, const UpstreamId &Id) {
  return std::find(Ids.begin(), Ids.end(), Id) != Ids.end();
}

} // namespace

Router::Router(VmName Self, uint64_t Seed)
    : Self(std::move(Self)), Random(Seed) {
  const BalancerRegistry &Known = BalancerRegistry::instance();
  for (const std::string &Name : Known.names())
    this->Balancers.emplace(Name, Known.create(Name));
}

void Router::setSnapshot(std::shared_ptr<const Snapshot> New, TimePoint Now) {
  const bool First = this->Current == nullptr;
  this->Current = std::move(New);
  std::set<UpstreamId> Listed;
  for (const ServiceEntry &Service : this->Current->Services)
    for (const Vm &Each : Service.Upstreams) {
      Listed.insert(Each.id());
      const auto [Known, Added] =
          this->Views.try_emplace(Each.id(), Each, First, Now);
      if (!Added)
        Known->second.update(Each);
    }
  std::erase_if(this->Views, [&Listed](const auto &Each) {
    return !Listed.contains(Each.first) && Each.second.inFlight() == 0;
  });
}

UpstreamView *Router::find(const UpstreamId &Id) {
  const auto Found = this->Views.find(Id);
  return Found == this->Views.end() ? nullptr : &Found->second;
}

void Router::onAnnouncement(const MemberAnnouncement &Announced) {
  for (auto &[Id, View] : this->Views)
    if (Id.Name == Announced.Name)
      View.onAnnouncement(Announced);
}

void Router::onLoad(const VmName &Name, const LoadReport &Load, TimePoint Now) {
  if (UpstreamView *View = this->find({.Name = Name, .Target = Load.Target}))
    View->onLoad(Load, Now);
}

void Router::setUnresponsive(const VmName &Name, bool Silent) {
  for (auto &[Id, View] : this->Views)
    if (Id.Name == Name)
      View.setUnresponsive(Silent);
}

Candidate Router::makeCandidate(const Vm &Upstream, const UpstreamView &View,
                                const RoutingContext &Request,
                                TimePoint Now) const {
  const Policy &Rules = *Request.RoutePolicy;
  const ServiceTimeEstimate Usual = this->ServiceTimes.estimate(
      Request.Route, effectiveLatencyObjective(Rules));
  const Duration Run = View.expectedServiceTime(Usual.Mean, Rules, Now);
  const auto Known = this->MeanResponseBytes.find(Request.Route);
  const double Answer =
      Known == this->MeanResponseBytes.end() ? 0 : Known->second;
  return {.Upstream = &Upstream,
          .Load = View.load(Rules, Now),
          .ExpectedWait = View.expectedWait(Rules, Run, Now),
          .ServiceTime = Run,
          .ServiceTimeDeviation =
              View.expectedServiceTime(Usual.Deviation, Rules, Now),
          .TimeToSoftDeadline = Request.SoftDeadline - Now,
          .TimeToDeadline = Request.Deadline - Now,
          .ExpectedBytes = static_cast<double>(Request.BodyBytes) + Answer,
          .ErrorRate = View.errorRate(),
          .IsLocal = Upstream.Name == this->Self,
          .InSameDomain = Upstream.Domain == this->Current->Domain};
}

Balancer &Router::findBalancer(const std::string &Name) const {
  const auto Found = this->Balancers.find(Name);
  return Found == this->Balancers.end() ? *this->Balancers.at(DefaultBalancer)
                                        : *Found->second;
}

const Vm *Router::pick(const RoutingContext &Request,
                       std::span<const UpstreamId> Excluded, TimePoint Now) {
  const Policy &Rules = *Request.RoutePolicy;
  std::vector<Candidate> Healthy;
  std::vector<Candidate> Ejected;
  for (const Vm &Each : this->currentUpstreams(*Request.Service)) {
    const UpstreamView *View = this->find(Each.id());
    if (View == nullptr || contains(Excluded, Each.id()) ||
        !View->acceptsRequests())
      continue;
    std::vector<Candidate> &Group = View->ejected(Now) ? Ejected : Healthy;
    Group.push_back(this->makeCandidate(Each, *View, Request, Now));
  }
  // A request that was refused once had better come back later than go to an
  // upstream that fails.
  if (Healthy.empty() && !Excluded.empty())
    return nullptr;
  const size_t Total = Healthy.size() + Ejected.size();
  const double MaxEjected = Rules.MaxEjected * static_cast<double>(Total);
  if (static_cast<double>(Ejected.size()) > MaxEjected || Healthy.empty())
    Healthy.insert(Healthy.end(), Ejected.begin(), Ejected.end());
  if (Healthy.empty())
    return nullptr;
  Balancer &Chooser = this->findBalancer(Rules.BalancerName);
  const Candidate &Best = Healthy[Chooser.choose(Healthy, this->Random)];
  const bool WaitsInVain =
      !shouldWait(Best.ExpectedWait, Best.ServiceTime,
                  {.ToSoftDeadline = Best.TimeToSoftDeadline,
                   .ToDeadline = Best.TimeToDeadline});
  return WaitsInVain && !Excluded.empty() ? nullptr : Best.Upstream;
}

const std::vector<Vm> &
Router::currentUpstreams(const ServiceEntry &Service) const {
  const ServiceEntry *Newest = this->Current->findService(Service.Name);
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

void Router::onAttemptEnd(const UpstreamId &Id, AttemptResult End,
                          TimePoint Now) {
  if (UpstreamView *View = this->find(Id))
    View->onAttemptEnd(End, Now);
}

void Router::onRequestFinished(const UpstreamId &Id,
                               const FinishedRequest &Run) {
  const Duration Everywhere =
      this->ServiceTimes.estimate(Run.Route, Run.LatencyObjective).Mean;
  if (UpstreamView *View = this->find(Id))
    View->onServiceTime(Run.MeanServiceTime.value_or(Run.ServiceTime),
                        Everywhere, Run.MeanServiceTime.has_value());
  this->ServiceTimes.add(Run.Route, Run.ServiceTime);
  const auto Bytes = static_cast<double>(Run.ResponseBytes);
  const auto [Known, New] =
      this->MeanResponseBytes.try_emplace(Run.Route, Bytes);
  if (!New)
    Known->second += BytesWeight * (Bytes - Known->second);
}

size_t Router::ejectedCount(TimePoint Now) const {
  return static_cast<size_t>(std::count_if(
      this->Views.begin(), this->Views.end(),
      [Now](const auto &Each) { return Each.second.ejected(Now); }));
}

} // namespace bluebellbarrow
