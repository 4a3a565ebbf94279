#include "simmesh.h"

#include <algorithm>
#include <cmath>

namespace bluebellbarrow {

namespace {

/** Part of its time left that a caller waits at most before it comes back. */
constexpr double LongestReturnShare = 1.0 / 3;

/** Time after which callers come back that were not told when. */
constexpr Duration UsualReturn = milliseconds(50);

/** Time for the last answers after the load has ended. */
constexpr Duration Rest = seconds(20);

double inSeconds(Duration Time) {
  return std::chrono::duration<double>(Time).count();
}

Duration fromSeconds(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

Policy rulesOf(const KindModel &Kind, const Policy &Base) {
  Policy Rules = Base;
  Rules.Deadline = Kind.Timeout;
  Rules.LatencyObjective = Kind.Aim;
  Rules.Priority = Kind.Priority;
  Rules.Retries = Kind.Retries;
  Rules.Idempotent = Kind.Idempotent;
  return Rules;
}

} // namespace

double SimResult::worstCredit() const {
  double Worst = 1;
  for (size_t Index = 0; Index + 1 < this->Seconds.size(); ++Index) {
    const Tally &First = this->Seconds[Index];
    const Tally &Second = this->Seconds[Index + 1];
    const double Owed = First.Owed + Second.Owed;
    if (Owed > 0)
      Worst = std::min(Worst, (First.Earned + Second.Earned) / Owed);
  }
  return Worst;
}

SimMesh::SimMesh(const Experiment &Model, const VariantModel &Variant)
    : Model(Model), Shared{.Events = Events,
                           .Model = Model,
                           .Variant = Variant,
                           .Map = nullptr,
                           .Nodes = {},
                           .Rules = {}},
      Random(Model.Mesh.Seed), Start(Events.now()) {
  for (const KindModel &Each : Model.Kinds)
    this->Shared.Rules.emplace(&Each, rulesOf(Each, Variant.Rules));
  this->Shared.Map = this->buildMap();
  this->buildNodes();
}

std::shared_ptr<const Snapshot> SimMesh::buildMap() const {
  auto Map = std::make_shared<Snapshot>();
  size_t Number = 0;
  for (const ServiceModel &Service : this->Model.Services) {
    ServiceEntry Entry{.Name = ServiceName(Service.Name),
                       .EffectivePolicy = this->Shared.Variant.Rules};
    for (size_t Index = 0; Index < Service.Targets; ++Index, ++Number)
      Entry.Upstreams.push_back(
          {.Name = VmName(Service.Name + "-" + std::to_string(Index)),
           .Ip = Address("10.0.0.1"),
           .Domain = FailureDomain(
               "d" + std::to_string(Number % this->Model.Mesh.Domains)),
           .Service = Entry.Name,
           .Slots = static_cast<int64_t>(Service.Slots),
           .TargetStartUnixMillis = 1});
    Map->Services.push_back(std::move(Entry));
    Map->VmCount += Service.Targets;
  }
  std::sort(Map->Services.begin(), Map->Services.end(),
            [](const ServiceEntry &A, const ServiceEntry &B) {
              return A.Name < B.Name;
            });
  return Map;
}

void SimMesh::buildNodes() {
  uint64_t Seed = this->Model.Mesh.Seed * 1000;
  for (const ServiceModel &Service : this->Model.Services) {
    const auto &Upstreams =
        this->Shared.Map->findService(ServiceName(Service.Name))->Upstreams;
    for (size_t Index = 0; Index < Upstreams.size(); ++Index) {
      const double Speed = Service.Speeds[Index % Service.Speeds.size()];
      this->Nodes.push_back(std::make_unique<SimNode>(
          this->Shared, Upstreams[Index], Service, Speed, ++Seed));
      this->Shared.Nodes[Upstreams[Index].Name] = this->Nodes.back().get();
    }
  }
}

SimResult SimMesh::run() {
  for (const KindModel &Each : this->Model.Kinds)
    if (Each.Rate > 0)
      this->scheduleArrival(Each);
  this->scheduleEvents();
  this->Events.runUntil(this->Start + this->Model.Mesh.Length + Rest);
  return this->Result;
}

double SimMesh::rateOf(const KindModel &Kind) const {
  double Rate = Kind.Rate;
  for (const std::string &Name : {std::string(), Kind.Name})
    if (const auto Known = this->RateFactors.find(Name);
        Known != this->RateFactors.end())
      Rate *= Known->second;
  return Rate;
}

void SimMesh::scheduleArrival(const KindModel &Kind) {
  std::exponential_distribution<double> Gap(this->rateOf(Kind));
  this->Events.after(fromSeconds(Gap(this->Random)), [this, &Kind] {
    if (this->Events.now() >= this->Start + this->Model.Mesh.Length)
      return;
    this->attempt(std::make_shared<Request>(
        Request{.Kind = &Kind, .Began = this->Events.now()}));
    this->scheduleArrival(Kind);
  });
}

void SimMesh::attempt(const RequestPtr &Of) {
  Of->Attempts += 1;
  std::uniform_int_distribution<size_t> Draw(0, this->Nodes.size() - 1);
  SimNode &Node = *this->Nodes[Draw(this->Random)];
  const Duration Delay = this->Model.Mesh.CallerDelay;
  this->Events.after(Delay, [this, &Node, Of, Delay] {
    const Duration Left = Of->Began + Of->Kind->Deadline - this->Events.now();
    Node.call({.Kind = Of->Kind,
               .Deadline = Left,
               .OnEnd = [this, Of, Delay](const SimAnswer &Answer) {
                 this->Events.after(
                     Delay, [this, Of, Answer] { this->onAnswer(Of, Answer); });
               }});
  });
}

bool SimMesh::comesBack(const RequestPtr &Of, const SimAnswer &Answer) {
  const bool Safe = Of->Kind->Idempotent || Answer.Result == Outcome::NotRun;
  const Duration Left = Of->Began + Of->Kind->Deadline - this->Events.now();
  if (Answer.Good || !Safe || Of->Attempts > Of->Kind->CallerRetries ||
      Left <= Duration::zero())
    return false;
  const Duration Asked =
      Answer.RetryAfter > Duration::zero() ? Answer.RetryAfter : UsualReturn;
  const Duration Longest = fromSeconds(inSeconds(Left) * LongestReturnShare);
  this->Events.after(std::min(Asked, Longest),
                     [this, Of] { this->attempt(Of); });
  return true;
}

void SimMesh::onAnswer(const RequestPtr &Of, const SimAnswer &Answer) {
  if (!this->comesBack(Of, Answer))
    this->count(*Of, Answer);
}

void SimMesh::count(const Request &Of, const SimAnswer &Answer) {
  const auto Second = static_cast<size_t>(inSeconds(Of.Began - this->Start));
  if (this->Result.Seconds.size() <= Second)
    this->Result.Seconds.resize(Second + 1);
  const Duration Took = this->Events.now() - Of.Began;
  const bool InAim = Answer.Good && Took <= Of.Kind->Aim;
  const bool Late = Answer.Good && !InAim && Took <= Of.Kind->Deadline;
  for (Tally *Each : {&this->Result.All, &this->Result.Kinds[Of.Kind->Name],
                      &this->Result.Seconds[Second]}) {
    Each->Asked += 1;
    Each->Owed += Of.Kind->Worth;
    Each->InAim += InAim ? 1 : 0;
    Each->Late += Late ? 1 : 0;
    Each->Refused += !Answer.Good && Answer.Result == Outcome::NotRun ? 1 : 0;
    Each->Failed += !InAim && !Late && Answer.Result != Outcome::NotRun ? 1 : 0;
    Each->Earned += InAim ? Of.Kind->Worth : Late ? Of.Kind->LateWorth : 0;
  }
}

std::vector<SimNode *> SimMesh::affected(const EventModel &Event) {
  std::vector<SimNode *> All;
  for (const auto &Each : this->Nodes)
    if (Event.Service.empty() || Each->listed().Service.str() == Event.Service)
      All.push_back(Each.get());
  std::shuffle(All.begin(), All.end(), this->Random);
  const auto Count = static_cast<size_t>(
      std::lround(Event.Share * static_cast<double>(All.size())));
  All.resize(std::min(All.size(), Count));
  return All;
}

void SimMesh::scheduleEvents() {
  for (const EventModel &Each : this->Model.Events)
    this->Events.at(this->Start + Each.At,
                    [this, &Each] { this->begin(Each); });
}

void SimMesh::begin(const EventModel &Event) {
  if (Event.What == "burst") {
    this->RateFactors[Event.Service] = Event.Factor;
    this->Events.after(Event.Length, [this, &Event] {
      this->RateFactors.erase(Event.Service);
    });
    return;
  }
  for (SimNode *Each : this->affected(Event)) {
    if (Event.What == "restart") {
      Each->losePower(Event.Length);
      continue;
    }
    const bool Slow = Event.What == "slow";
    Slow ? Each->target().setSlow(Event.Factor)
         : Each->target().setFailing(Event.Factor);
    this->Events.after(Event.Length, [Each, Slow] {
      Slow ? Each->target().setSlow(1) : Each->target().setFailing(0);
    });
  }
}

} // namespace bluebellbarrow
