#include "simmesh.h"

#include <algorithm>
#include <cmath>

namespace bluebellbarrow {

namespace {

/** Largest share of its remaining time that a caller waits before a retry. */
constexpr double MaxRetryDelayShare = 1.0 / 3;

/** Delay of a retry when the refusal gave no time. */
constexpr Duration DefaultRetryDelay = milliseconds(50);

/** Time simulated after the load ends, for the calls that are still open. */
constexpr Duration DrainTime = seconds(20);

double toSeconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

Duration fromSeconds(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

Policy routePolicy(const KindModel &Kind, const Policy &Defaults) {
  Policy RoutePolicy = Defaults;
  RoutePolicy.Deadline = Kind.Timeout;
  RoutePolicy.LatencyObjective = Kind.LatencyObjective;
  RoutePolicy.Priority = Kind.Priority;
  RoutePolicy.Retries = Kind.Retries;
  RoutePolicy.Idempotent = Kind.Idempotent;
  return RoutePolicy;
}

} // namespace

double SimResult::worstUtilityShare() const {
  double Worst = 1;
  for (size_t Index = 0; Index + 1 < this->Seconds.size(); ++Index) {
    const RequestCounts &First = this->Seconds[Index];
    const RequestCounts &Second = this->Seconds[Index + 1];
    const double PossibleUtility =
        First.PossibleUtility + Second.PossibleUtility;
    if (PossibleUtility > 0)
      Worst = std::min(Worst, (First.AchievedUtility + Second.AchievedUtility) /
                                  PossibleUtility);
  }
  return Worst;
}

SimMesh::SimMesh(const Experiment &Model, const VariantModel &Variant)
    : Model(Model), Context{.Events = Events,
                            .Model = Model,
                            .Variant = Variant,
                            .ConfigSnapshot = nullptr,
                            .Nodes = {},
                            .RoutePolicies = {}},
      Random(Model.Mesh.Seed), Start(Events.now()) {
  for (const KindModel &Kind : Model.Kinds)
    this->Context.RoutePolicies.emplace(
        &Kind, routePolicy(Kind, Variant.RouteDefaults));
  this->Context.ConfigSnapshot = this->buildSnapshot();
  this->buildNodes();
}

std::shared_ptr<const Snapshot> SimMesh::buildSnapshot() const {
  auto NewSnapshot = std::make_shared<Snapshot>();
  size_t Number = 0;
  for (const ServiceModel &Service : this->Model.Services) {
    ServiceEntry Entry{.Name = ServiceName(Service.Name),
                       .EffectivePolicy = this->Context.Variant.RouteDefaults};
    for (size_t Index = 0; Index < Service.Targets; ++Index, ++Number)
      Entry.Upstreams.push_back(
          {.Name = VmName(Service.Name + "-" + std::to_string(Index)),
           .Ip = Address("10.0.0.1"),
           .Domain = FailureDomain(
               "d" + std::to_string(Number % this->Model.Mesh.Domains)),
           .Service = Entry.Name,
           .Slots = static_cast<int64_t>(Service.Slots),
           .TargetStartUnixMillis = 1});
    NewSnapshot->Services.push_back(std::move(Entry));
    NewSnapshot->VmCount += Service.Targets;
  }
  std::sort(NewSnapshot->Services.begin(), NewSnapshot->Services.end(),
            [](const ServiceEntry &A, const ServiceEntry &B) {
              return A.Name < B.Name;
            });
  return NewSnapshot;
}

void SimMesh::buildNodes() {
  uint64_t Seed = this->Model.Mesh.Seed * 1000;
  for (const ServiceModel &Service : this->Model.Services) {
    const auto &Upstreams =
        this->Context.ConfigSnapshot->findService(ServiceName(Service.Name))
            ->Upstreams;
    for (size_t Index = 0; Index < Upstreams.size(); ++Index) {
      const double Speed = Service.Speeds[Index % Service.Speeds.size()];
      this->Nodes.push_back(std::make_unique<SimNode>(
          this->Context, Upstreams[Index], Service, Speed, ++Seed));
      this->Context.Nodes[Upstreams[Index].Name] = this->Nodes.back().get();
    }
  }
}

SimResult SimMesh::run() {
  for (const KindModel &Kind : this->Model.Kinds)
    if (Kind.Rate > 0)
      this->scheduleArrival(Kind);
  this->scheduleEvents();
  this->Events.runUntil(this->Start + this->Model.Mesh.Length + DrainTime);
  return this->Result;
}

double SimMesh::currentRate(const KindModel &Kind) const {
  double Rate = Kind.Rate;
  for (const std::string &Name : {std::string(), Kind.Name})
    if (const auto Found = this->RateFactors.find(Name);
        Found != this->RateFactors.end())
      Rate *= Found->second;
  return Rate;
}

void SimMesh::scheduleArrival(const KindModel &Kind) {
  std::exponential_distribution<double> Interarrival(this->currentRate(Kind));
  this->Events.scheduleAfter(
      fromSeconds(Interarrival(this->Random)), [this, &Kind] {
        if (this->Events.now() >= this->Start + this->Model.Mesh.Length)
          return;
        this->attempt(std::make_shared<CallerRequest>(
            CallerRequest{.Kind = &Kind, .Start = this->Events.now()}));
        this->scheduleArrival(Kind);
      });
}

void SimMesh::attempt(const CallerRequestPtr &Request) {
  Request->Attempts += 1;
  std::uniform_int_distribution<size_t> Draw(0, this->Nodes.size() - 1);
  SimNode &Node = *this->Nodes[Draw(this->Random)];
  const Duration Delay = this->Model.Mesh.CallerDelay;
  this->Events.scheduleAfter(Delay, [this, &Node, Request, Delay] {
    const Duration Remaining =
        Request->Start + Request->Kind->Deadline - this->Events.now();
    Node.call(
        {.Kind = Request->Kind,
         .Deadline = Remaining,
         .OnFinished = [this, Request, Delay](const SimCallResult &CallResult) {
           this->Events.scheduleAfter(Delay, [this, Request, CallResult] {
             this->onCallFinished(Request, CallResult);
           });
         }});
  });
}

bool SimMesh::tryScheduleRetry(const CallerRequestPtr &Request,
                               const SimCallResult &CallResult) {
  const bool SafeToRetry =
      Request->Kind->Idempotent || CallResult.Result == Outcome::NotRun;
  const Duration Remaining =
      Request->Start + Request->Kind->Deadline - this->Events.now();
  if (CallResult.Succeeded || !SafeToRetry ||
      Request->Attempts > Request->Kind->CallerRetries ||
      Remaining <= Duration::zero())
    return false;
  const Duration RetryDelay = CallResult.RetryAfter > Duration::zero()
                                  ? CallResult.RetryAfter
                                  : DefaultRetryDelay;
  const Duration MaxDelay =
      fromSeconds(toSeconds(Remaining) * MaxRetryDelayShare);
  this->Events.scheduleAfter(std::min(RetryDelay, MaxDelay),
                             [this, Request] { this->attempt(Request); });
  return true;
}

void SimMesh::onCallFinished(const CallerRequestPtr &Request,
                             const SimCallResult &CallResult) {
  if (!this->tryScheduleRetry(Request, CallResult))
    this->recordResult(*Request, CallResult);
}

void SimMesh::recordResult(const CallerRequest &Request,
                           const SimCallResult &CallResult) {
  const auto Second =
      static_cast<size_t>(toSeconds(Request.Start - this->Start));
  if (this->Result.Seconds.size() <= Second)
    this->Result.Seconds.resize(Second + 1);
  const Duration Latency = this->Events.now() - Request.Start;
  const bool OnTime =
      CallResult.Succeeded && Latency <= Request.Kind->LatencyObjective;
  const bool Late =
      CallResult.Succeeded && !OnTime && Latency <= Request.Kind->Deadline;
  for (RequestCounts *Counts :
       {&this->Result.All, &this->Result.Kinds[Request.Kind->Name],
        &this->Result.Seconds[Second]}) {
    Counts->Total += 1;
    Counts->PossibleUtility += Request.Kind->Utility;
    Counts->OnTime += OnTime ? 1 : 0;
    Counts->Late += Late ? 1 : 0;
    Counts->Refused +=
        !CallResult.Succeeded && CallResult.Result == Outcome::NotRun ? 1 : 0;
    Counts->Failed +=
        !OnTime && !Late && CallResult.Result != Outcome::NotRun ? 1 : 0;
    Counts->AchievedUtility += OnTime ? Request.Kind->Utility
                               : Late ? Request.Kind->LateUtility
                                      : 0;
  }
}

std::vector<SimNode *> SimMesh::selectAffectedNodes(const EventModel &Event) {
  std::vector<SimNode *> Affected;
  for (const auto &Node : this->Nodes)
    if (Event.Scope.empty() || Node->listedVm().Service.str() == Event.Scope)
      Affected.push_back(Node.get());
  std::shuffle(Affected.begin(), Affected.end(), this->Random);
  const auto Count = static_cast<size_t>(
      std::lround(Event.Share * static_cast<double>(Affected.size())));
  Affected.resize(std::min(Affected.size(), Count));
  return Affected;
}

void SimMesh::scheduleEvents() {
  for (const EventModel &Event : this->Model.Events)
    this->Events.scheduleAt(this->Start + Event.Start,
                            [this, &Event] { this->startEvent(Event); });
}

void SimMesh::startEvent(const EventModel &Event) {
  if (Event.Type == "burst") {
    this->RateFactors[Event.Scope] = Event.Factor;
    this->Events.scheduleAfter(
        Event.Length, [this, &Event] { this->RateFactors.erase(Event.Scope); });
    return;
  }
  for (SimNode *Node : this->selectAffectedNodes(Event)) {
    if (Event.Type == "restart") {
      Node->powerCycle(Event.Length);
      continue;
    }
    const bool Slow = Event.Type == "slow";
    Slow ? Node->target().setSlowdown(Event.Factor)
         : Node->target().setErrorRate(Event.Factor);
    this->Events.scheduleAfter(Event.Length, [Node, Slow] {
      Slow ? Node->target().setSlowdown(1) : Node->target().setErrorRate(0);
    });
  }
}

} // namespace bluebellbarrow
