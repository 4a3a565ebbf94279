#include "simnode.h"

namespace bluebellbarrow {

namespace {

/** Time between two looks at the queue while requests are here. */
constexpr Duration PollPeriod = milliseconds(25);

/** Time in which a caller learns that a VM has no power. */
constexpr Duration NoConnectionTime = milliseconds(5);

/** Requests of the queue of a node that admits everything. */
constexpr size_t Unlimited = 1000000;

constexpr int StatusGood = 200;
constexpr int StatusFailed = 500;

} // namespace

/** One call at the node that the caller reached. */
struct SimNode::Pending {
  const KindModel *Kind = nullptr;
  std::function<void(const SimAnswer &)> OnEnd;
  std::unique_ptr<OutboundCall> Decisions;
  TimePoint Aim;
  TimePoint Deadline;
  std::map<int, RequestKey> Keys;
  bool AnswerGood = false;
  bool Ended = false;
};

SimNode::SimNode(SimShared &Shared, const Vm &Listed,
                 const ServiceModel &Service, double Speed, uint64_t Seed)
    : Shared(Shared), Listed(Listed),
      Target(Shared.Events, Service, Speed, Seed,
             [this](const KindModel &Kind, TimePoint Deadline,
                    const std::function<void(bool)> &OnEnd) {
               this->call(
                   {.Kind = &Kind,
                    .Deadline = std::min(Kind.Deadline,
                                         Deadline - this->Shared.Events.now()),
                    .OnEnd = [OnEnd](const SimAnswer &Answer) {
                      OnEnd(Answer.Good);
                    }});
             }),
      Seed(Seed) {
  this->start();
  this->poll();
}

void SimNode::losePower(Duration After) {
  this->Down = true;
  this->Life += 1;
  this->endCalls();
  this->Here.clear();
  this->Target.restart();
  this->Shared.Events.after(After, [this] {
    this->Target.restart();
    this->start();
  });
}

void SimNode::endCalls() {
  const std::set<PendingPtr> Ended = std::move(this->Open);
  this->Open.clear();
  for (const PendingPtr &Each : Ended)
    this->finish(Each, {.Result = Outcome::Unknown});
}

void SimNode::start() {
  const VariantModel &Variant = this->Shared.Variant;
  const size_t Slots = static_cast<size_t>(this->Listed.Slots);
  this->Life += 1;
  this->Down = false;
  this->Gate = std::make_unique<Admission>(
      AdmissionLimits{.Slots = Variant.Admits ? Slots : Unlimited,
                      .MaxQueued =
                          static_cast<size_t>(Variant.Rules.MaxQueueLength)},
      Variant.Admission);
  if (this->Routes != nullptr)
    this->OldRoutes.push_back(std::move(this->Routes));
  this->Routes =
      std::make_unique<Router>(this->Listed.Name, this->Seed + this->Life);
  this->Routes->setSnapshot(this->Shared.Map, this->Shared.Events.now());
}

void SimNode::process(std::function<void()> Work) {
  EventQueue &Events = this->Shared.Events;
  this->FreeAt = std::max(this->FreeAt, Events.now()) +
                 this->Shared.Model.Mesh.MessageCost;
  Events.at(this->FreeAt, std::move(Work));
}

void SimNode::sendTo(SimNode &Other, std::function<void()> Work) {
  const MeshModel &Mesh = this->Shared.Model.Mesh;
  Duration Delay = Mesh.BetweenDelay;
  if (&Other == this)
    Delay = Duration::zero();
  else if (Other.Listed.Domain == this->Listed.Domain)
    Delay = Mesh.InsideDelay;
  this->Shared.Events.after(
      Delay, [&Other, Work = std::move(Work)] { Other.process(Work); });
}

void SimNode::call(SimCall Made) {
  if (this->Down) {
    this->Shared.Events.after(NoConnectionTime, [Made = std::move(Made)] {
      Made.OnEnd({.Result = Outcome::NotRun});
    });
    return;
  }
  this->process([this, Made = std::move(Made)] {
    const TimePoint Now = this->Shared.Events.now();
    const KindModel &Kind = *Made.Kind;
    auto Call = std::make_shared<Pending>();
    Call->Kind = Made.Kind;
    Call->OnEnd = Made.OnEnd;
    Call->Deadline = Now + std::min(Made.Deadline, Kind.Timeout);
    Call->Aim = std::min(Call->Deadline, Now + Kind.Aim);
    const ServiceName Service(Kind.Service);
    Call->Decisions = std::make_unique<OutboundCall>(
        OutboundCallOptions{.ConfigSnapshot = this->Shared.Map,
                            .Service = this->Shared.Map->findService(Service),
                            .RoutePolicy = &this->Shared.Rules.at(&Kind),
                            .Route = RouteName(Kind.Name),
                            .SoftDeadline = Call->Aim,
                            .Deadline = Call->Deadline},
        *this->Routes,
        this->Budgets.budgetFor(Service, this->Shared.Variant.Rules,
                                this->Shared.Nodes.size(), Now));
    this->Open.insert(Call);
    this->carryOut(Call, Call->Decisions->start(Now));
  });
}

void SimNode::carryOut(const PendingPtr &Call,
                       const OutboundCallActions &Actions) {
  for (const OutboundCallAction &Each : Actions) {
    if (const auto *Start = std::get_if<StartAttempt>(&Each))
      this->act(Call, *Start);
    else if (const auto *Cancel = std::get_if<CancelAttempt>(&Each))
      this->act(Call, *Cancel);
    else if (const auto *Fail = std::get_if<FailCall>(&Each))
      this->finish(Call,
                   {.Result = Fail->Result, .RetryAfter = Fail->RetryAfter});
    else
      this->finish(Call,
                   {.Result = Outcome::Answered, .Good = Call->AnswerGood});
  }
  this->scheduleTime(Call);
}

void SimNode::finish(const PendingPtr &Call, const SimAnswer &Answer) {
  if (Call->Ended)
    return;
  Call->Ended = true;
  this->Open.erase(Call);
  Call->OnEnd(Answer);
}

void SimNode::scheduleTime(const PendingPtr &Call) {
  if (Call->Decisions->done())
    return;
  this->Shared.Events.at(Call->Decisions->nextTimer(), [this, Call] {
    const TimePoint Now = this->Shared.Events.now();
    if (!Call->Decisions->done() && Now >= Call->Decisions->nextTimer())
      this->carryOut(Call, Call->Decisions->onTimer(Now));
  });
}

void SimNode::act(const PendingPtr &Call, const StartAttempt &Action) {
  SimNode &At = *this->Shared.Nodes.at(Action.Upstream.Name);
  const RequestKey Key{.Origin = this->Listed.Name,
                       .OriginIncarnation = IncarnationId(this->Life),
                       .Number = RequestNumber(++this->LastNumber)};
  Call->Keys[Action.Attempt] = Key;
  this->sendTo(At, [this, &At, Key, Call, Attempt = Action.Attempt] {
    At.arrive(Key, {.Call = Call,
                    .Attempt = Attempt,
                    .Origin = this,
                    .Deadline = Call->Deadline});
  });
}

void SimNode::act(const PendingPtr &Call, const CancelAttempt &Action) {
  SimNode &At = *this->Shared.Nodes.at(Action.Upstream.Name);
  const RequestKey Key = Call->Keys.at(Action.Attempt);
  this->sendTo(
      At, [&At, Key, Stop = Action.StopIfRunning] { At.onCancel(Key, Stop); });
}

void SimNode::arrive(const RequestKey &Key, Arrived Request) {
  if (this->Down) {
    SimNode &Origin = *Request.Origin;
    this->sendTo(
        Origin, [&Origin, Call = Request.Call, Attempt = Request.Attempt] {
          Origin.carryOut(Call, Call->Decisions->onNotSent(
                                    Attempt, Origin.Shared.Events.now()));
        });
    return;
  }
  const TimePoint Now = this->Shared.Events.now();
  const KindModel &Kind = *Request.Call->Kind;
  const AdmissionRequest Asked{.Key = Key,
                               .Route = RouteName(Kind.Name),
                               .Priority = Kind.Priority,
                               .SoftDeadline = Request.Call->Aim,
                               .Deadline = Request.Deadline,
                               .RouteLatencyObjective = Kind.Aim};
  this->Here[Key] = std::move(Request);
  const AdmissionResult Result = this->Gate->admit(Asked, Now);
  if (Result.Decision == AdmissionDecision::Start)
    this->startRun(Key);
  else if (Result.Decision == AdmissionDecision::Refuse)
    this->reply(Key,
                {.Result = Outcome::NotRun, .RetryAfter = Result.RetryAfter},
                false, Duration::zero());
}

void SimNode::onCancel(const RequestKey &Key, bool Stop) {
  const CancelState State = this->Gate->cancel(Key, this->Shared.Events.now());
  const auto Found = this->Here.find(Key);
  if (Found == this->Here.end())
    return;
  if (State == CancelState::Running && Stop) {
    this->Target.cancel(Found->second.Run);
    this->Gate->onFinished(Key, this->Shared.Events.now());
  }
  this->Here.erase(Found);
  this->pollQueue();
}

void SimNode::startRun(const RequestKey &Key) {
  const auto Found = this->Here.find(Key);
  if (Found == this->Here.end())
    return;
  Arrived &Request = Found->second;
  const KindModel &Kind = *Request.Call->Kind;
  const KindModel *Calls = nullptr;
  for (const KindModel &Each : this->Shared.Model.Kinds)
    if (!Kind.Calls.empty() && Each.Name == Kind.Calls)
      Calls = &Each;
  Request.Started = this->Shared.Events.now();
  Request.Run = this->Target.run(
      Kind, Calls, Request.Deadline, [this, Key, Life = this->Life](bool Good) {
        this->process([this, Key, Life, Good] {
          if (Life != this->Life || !this->Here.contains(Key))
            return;
          const TimePoint Now = this->Shared.Events.now();
          this->Gate->onFinished(Key, Now);
          this->reply(Key,
                      {.Result = Outcome::Answered,
                       .Status = Good ? StatusGood : StatusFailed,
                       .ReachedTarget = true},
                      Good, Now - this->Here.at(Key).Started);
          this->pollQueue();
        });
      });
}

LoadReport SimNode::load() const {
  const TimePoint Now = this->Shared.Events.now();
  return {.SlotsUsed = static_cast<uint16_t>(this->Gate->running()),
          .Slots = static_cast<uint16_t>(this->Listed.Slots),
          .Queued = static_cast<uint16_t>(this->Gate->queued()),
          .WaitMicros = this->Gate->reportedWaits(Now),
          .State = MemberState::Serving};
}

void SimNode::reply(const RequestKey &Key, const AttemptReply &Reply, bool Good,
                    Duration Took) {
  const auto Found = this->Here.find(Key);
  if (Found == this->Here.end())
    return;
  const Arrived Ended = std::move(Found->second);
  this->Here.erase(Found);
  SimNode &Origin = *Ended.Origin;
  std::optional<Duration> Usual;
  if (this->Shared.Variant.SharesMeans)
    Usual = this->Gate->meanServiceTime(RouteName(Ended.Call->Kind->Name));
  this->sendTo(Origin, [this, &Origin, Ended, Reply, Good, Took, Usual,
                        Load = this->load()] {
    const TimePoint Now = this->Shared.Events.now();
    const KindModel &Kind = *Ended.Call->Kind;
    Origin.Routes->onLoad(this->Listed.Name, Load, Now);
    if (Reply.Result == Outcome::Answered)
      Origin.Routes->onRequestFinished(this->Listed.id(),
                                       {.Route = RouteName(Kind.Name),
                                        .LatencyObjective = Kind.Aim,
                                        .ServiceTime = Took,
                                        .MeanServiceTime = Usual,
                                        .ResponseBytes = Kind.Bytes});
    Ended.Call->AnswerGood = Good;
    Origin.carryOut(Ended.Call,
                    Ended.Call->Decisions->onReply(Ended.Attempt, Reply, Now));
  });
}

void SimNode::pollQueue() {
  const TimePoint Now = this->Shared.Events.now();
  for (const Dequeued &Each : this->Gate->poll(Now)) {
    if (Each.Start)
      this->startRun(Each.Key);
    else
      this->reply(Each.Key,
                  {.Result = Outcome::NotRun, .RetryAfter = Each.RetryAfter},
                  false, Duration::zero());
  }
}

void SimNode::poll() {
  this->pollQueue();
  const TimePoint Now = this->Shared.Events.now();
  for (const RequestKey &Key : this->Gate->detectOverdue(Now)) {
    const auto Found = this->Here.find(Key);
    if (Found == this->Here.end())
      continue;
    const Arrived &Late = Found->second;
    SimNode &Origin = *Late.Origin;
    this->sendTo(Origin, [&Origin, Call = Late.Call, Attempt = Late.Attempt] {
      Origin.carryOut(Call, Call->Decisions->onOverdue(
                                Attempt, Origin.Shared.Events.now()));
    });
  }
  this->Shared.Events.after(PollPeriod, [this] { this->poll(); });
}

} // namespace bluebellbarrow
