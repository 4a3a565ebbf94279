#include "router.h"

#include "kernel/hashing.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>
#include <vector>

namespace bluebellbarrow {

namespace {

constexpr int FailuresToEject = 5;
constexpr Duration FirstEjection = seconds(1);
constexpr Duration FirstUnreachable = milliseconds(250);
constexpr Duration MaxEjection = seconds(30);
constexpr int MaxDoublings = 7;

/** Weight of the newest call in an upstream's error rate. */
constexpr double ErrorWeight = 0.1;

/** Age at which a reported load counts half. */
constexpr Duration LoadHalfLife = milliseconds(500);

/** Share of its weight that a cold target starts with. */
constexpr double ColdShare = 0.1;

bool contains(std::span<const VmName> Names, const VmName &Name) {
  return std::find(Names.begin(), Names.end(), Name) != Names.end();
}

double seconds01(Duration Part, Duration Whole) {
  if (Whole <= Duration::zero())
    return 1;
  return std::clamp(static_cast<double>(Part.count()) /
                        static_cast<double>(Whole.count()),
                    0.0, 1.0);
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
  std::set<VmName> Listed;
  for (const ServiceEntry &Service : this->Current->Services)
    for (const Vm &Each : Service.Upstreams) {
      Listed.insert(Each.Name);
      const auto [Known, Added] = this->Views.emplace(Each.Name, View());
      if (!Added)
        continue;
      Known->second.FirstSeen = Now;
      Known->second.Warm = First;
    }
  std::erase_if(this->Views, [&Listed](const auto &Each) {
    return !Listed.contains(Each.first) && Each.second.InFlight == 0;
  });
}

void Router::onAnnouncement(const MemberAnnouncement &Announced) {
  View &Target = this->Views[Announced.Name];
  const auto Order = [](const MemberAnnouncement &Each) {
    return std::tuple(Each.Life, Each.Sequence);
  };
  if (Target.HasAnnouncement && Order(Announced) <= Order(Target.Announced))
    return;
  if (Target.HasAnnouncement && Announced.Life > Target.Announced.Life) {
    Target.FailuresInRow = 0;
    Target.EjectedUntil = TimePoint();
  }
  Target.Announced = Announced;
  Target.HasAnnouncement = true;
}

void Router::onLoad(const VmName &Name, const LoadReport &Load, TimePoint Now) {
  View &Target = this->Views[Name];
  Target.Load = Load;
  Target.LoadTime = Now;
}

bool Router::takesWork(const Vm &Upstream) const {
  const auto Found = this->Views.find(Upstream.Name);
  if (Found == this->Views.end())
    return !Upstream.Leaving;
  const View &Known = Found->second;
  const bool Reported = Known.LoadTime != TimePoint();
  if (Reported && Known.Load.State != MemberState::Serving &&
      Known.Load.State != MemberState::Starting)
    return false;
  if (Known.HasAnnouncement && Known.Announced.State != MemberState::Serving)
    return false;
  return !Upstream.Leaving;
}

Candidate Router::candidate(const Vm &Upstream, const View &Known,
                            const Policy &Rules, TimePoint Now) const {
  const double Slots = std::max<double>(
      1, Known.Load.Slots > 0 ? Known.Load.Slots
                              : static_cast<double>(Rules.Slots));
  const double Age = std::chrono::duration<double>(Now - Known.LoadTime) /
                     std::chrono::duration<double>(LoadHalfLife);
  const double Reported =
      (Known.Load.SlotsUsed + Known.Load.Queued) * std::exp2(-Age);
  const double Work =
      std::max(Reported, static_cast<double>(Known.InFlight)) / Slots;
  const double Warmth =
      Known.Warm ? 1
                 : std::max(ColdShare,
                            seconds01(Now - Known.FirstSeen, Rules.SlowStart));
  return {.Upstream = &Upstream,
          .Load = (Work + 1 / Slots) / Warmth,
          .ErrorRate = Known.ErrorRate,
          .Own = Upstream.Name == this->Self,
          .Near = Upstream.Domain == this->Current->Domain};
}

const Vm *Router::pick(const ServiceEntry &Service, const Policy &Rules,
                       std::span<const VmName> Excluded, TimePoint Now) {
  std::vector<Candidate> Healthy;
  std::vector<Candidate> Ejected;
  for (const Vm &Each : Service.Upstreams) {
    if (contains(Excluded, Each.Name) || !this->takesWork(Each))
      continue;
    const View &Known = this->Views[Each.Name];
    std::vector<Candidate> &Group =
        Now < Known.EjectedUntil ? Ejected : Healthy;
    Group.push_back(this->candidate(Each, Known, Rules, Now));
  }
  const size_t Total = Healthy.size() + Ejected.size();
  const double MaxEjected = Rules.MaxEjected * static_cast<double>(Total);
  if (static_cast<double>(Ejected.size()) > MaxEjected || Healthy.empty())
    Healthy.insert(Healthy.end(), Ejected.begin(), Ejected.end());
  if (Healthy.empty())
    return nullptr;
  const auto Named = this->Balancers.find(Rules.Balance);
  Balancer &Chooser = Named == this->Balancers.end()
                          ? *this->Balancers.at("two-choices")
                          : *Named->second;
  return Healthy[Chooser.choose(Healthy, this->Random)].Upstream;
}

const Vm *Router::ownerOf(const ServiceEntry &Service, const std::string &Key) {
  const auto Owner =
      std::max_element(Service.Upstreams.begin(), Service.Upstreams.end(),
                       [&Key](const Vm &A, const Vm &B) {
                         return rendezvousWeight(Key, A.Name.str()) <
                                rendezvousWeight(Key, B.Name.str());
                       });
  return Owner == Service.Upstreams.end() ? nullptr : &*Owner;
}

void Router::onSent(const VmName &Name) { this->Views[Name].InFlight += 1; }

void Router::onEnd(const VmName &Name, AttemptEnd End, TimePoint Now) {
  View &Target = this->Views[Name];
  Target.InFlight = std::max<int64_t>(0, Target.InFlight - 1);
  if (End == AttemptEnd::Refused || End == AttemptEnd::Abandoned)
    return;
  const bool Good = End == AttemptEnd::Good;
  Target.ErrorRate += ErrorWeight * ((Good ? 0.0 : 1.0) - Target.ErrorRate);
  if (Good) {
    Target.FailuresInRow = 0;
    Target.Ejections = 0;
    return;
  }
  Target.FailuresInRow += 1;
  if (End == AttemptEnd::Unreachable)
    this->eject(Target, FirstUnreachable, Now);
  else if (Target.FailuresInRow >= FailuresToEject)
    this->eject(Target, FirstEjection, Now);
}

void Router::eject(View &Target, Duration First, TimePoint Now) {
  const int Doublings = std::min(Target.Ejections, MaxDoublings);
  Target.Ejections += 1;
  Target.EjectedUntil =
      Now + std::min<Duration>(First * (1 << Doublings), MaxEjection);
}

size_t Router::ejectedCount(TimePoint Now) const {
  return static_cast<size_t>(std::count_if(
      this->Views.begin(), this->Views.end(),
      [Now](const auto &Each) { return Now < Each.second.EjectedUntil; }));
}

} // namespace bluebellbarrow
