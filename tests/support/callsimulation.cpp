#include "callsimulation.h"

#include <algorithm>
#include <deque>

namespace bluebellbarrow {

namespace {

constexpr int BlindAttempts = 3;

const VmName CallerNode("caller");

VmName nameOf(size_t Service, size_t Index) {
  return VmName("s" + std::to_string(Service) + "-" + std::to_string(Index));
}

} // namespace

/** One call at the node that the caller reached. */
struct CallSimulation::PendingCall {
  std::string Id;
  size_t Service = 0;
  TimePoint Deadline;
  std::unique_ptr<OutboundCall> StateMachine;
  std::map<int, std::pair<VmName, uint64_t>> SentTo;
  std::map<int, RequestKey> Keys;
  std::function<void(Outcome, bool, bool)> OnEnd;
  bool ResponseSucceeded = false;
  bool ResponseNoRetry = false;
};

/** A target with its node. */
struct CallSimulation::Upstream {
  struct ReceivedAttempt {
    PendingCallPtr Call;
    int Attempt = 0;
  };

  VmName Name;
  size_t Service = 0;
  uint64_t Incarnation = 1;
  std::unique_ptr<Admission> AdmissionControl;
  std::map<RequestKey, ReceivedAttempt> Calls;
  TimePoint FrozenUntil;
  double Slowdown = 1;
  double ErrorShare = 0;
  bool Draining = false;
  uint64_t RequestCount = 0;

  /** Slots of the target itself, when its node admits everything. */
  size_t BusySlots = 0;
  std::deque<std::function<void()>> WaitQueue;
};

CallSimulation::CallSimulation(CallSimulationOptions NewOptions)
    : Options(std::move(NewOptions)), Random(this->Options.Seed),
      ConfigSnapshot(std::make_shared<Snapshot>()),
      UpstreamRouter(
          std::make_unique<Router>(CallerNode, this->Options.Seed + 1)),
      TargetCalls(this->Options.ChainLength) {
  Policy Rules = defaultPolicy();
  Rules.Retries = this->Options.Retries;
  Rules.RetryRatio = this->Options.RetryBudget;
  Rules.Idempotent = this->Options.Idempotent;
  Rules.BalancerName = this->Options.Balance;
  Rules.Slots = static_cast<int64_t>(this->Options.Slots);
  this->ConfigSnapshot->Domain = FailureDomain("d");
  for (size_t Service = 0; Service < this->Options.ChainLength; ++Service) {
    ServiceEntry Entry{.Name = ServiceName("s" + std::to_string(Service)),
                       .EffectivePolicy = Rules};
    for (size_t Index = 0; Index < this->Options.UpstreamsPerService; ++Index) {
      auto New = std::make_unique<Upstream>();
      New->Name = nameOf(Service, Index);
      New->Service = Service;
      New->AdmissionControl = std::make_unique<Admission>(AdmissionLimits{
          .Slots = this->Options.Slots, .MaxQueued = this->Options.QueueLimit});
      Entry.Upstreams.push_back({.Name = New->Name,
                                 .Ip = Address("10.0.0.1"),
                                 .Domain = FailureDomain("d"),
                                 .Service = Entry.Name});
      this->Upstreams.emplace(New->Name, std::move(New));
    }
    this->ConfigSnapshot->Services.push_back(std::move(Entry));
    this->Budgets.push_back(std::make_unique<RetryBudget>(
        RetryBudgetOptions{.RetriesPerRequest = this->Options.RetryBudget,
                           .MinRetriesPerSecond = 10,
                           .InitialBalance = 10},
        this->Now));
  }
  this->UpstreamRouter->setSnapshot(this->ConfigSnapshot, this->Now);
}

CallSimulation::~CallSimulation() = default;

CallSimulation::Upstream &CallSimulation::upstream(const VmName &Name) {
  return *this->Upstreams.at(Name);
}

uint64_t CallSimulation::targetCalls(size_t Service, size_t Index) const {
  return this->Upstreams.at(nameOf(Service, Index))->RequestCount;
}

void CallSimulation::schedule(TimePoint When, std::function<void()> Work) {
  this->Events.emplace(std::max(When, this->Now), std::move(Work));
}

void CallSimulation::run() {
  while (!this->Events.empty()) {
    const auto Next = this->Events.begin();
    this->Now = Next->first;
    const auto Work = std::move(Next->second);
    this->Events.erase(Next);
    Work();
  }
}

void CallSimulation::runWhenUnfrozen(Upstream &At, std::function<void()> Work) {
  if (this->Now >= At.FrozenUntil) {
    Work();
    return;
  }
  this->schedule(At.FrozenUntil, std::move(Work));
}

void CallSimulation::restart(size_t Service, size_t Index) {
  Upstream &Target = this->upstream(nameOf(Service, Index));
  Target.Incarnation += 1;
  Target.AdmissionControl = std::make_unique<Admission>(AdmissionLimits{
      .Slots = this->Options.Slots, .MaxQueued = this->Options.QueueLimit});
  Target.FrozenUntil = TimePoint();
  Target.Draining = false;
  Target.BusySlots = 0;
  Target.WaitQueue.clear();
  this->breakStreams(Service, Index);
  Target.Calls.clear();
}

void CallSimulation::breakStreams(size_t Service, size_t Index) {
  Upstream &Target = this->upstream(nameOf(Service, Index));
  for (const auto &[Key, Each] : Target.Calls)
    this->schedule(
        this->Now + this->Options.LinkDelay,
        [this, Call = Each.Call, Attempt = Each.Attempt] {
          this->executeActions(
              Call, Call->StateMachine->onConnectionLost(Attempt, this->Now));
        });
}

void CallSimulation::freeze(size_t Service, size_t Index, Duration Length) {
  this->upstream(nameOf(Service, Index)).FrozenUntil = this->Now + Length;
}

void CallSimulation::setDraining(size_t Service, size_t Index, bool On) {
  Upstream &Target = this->upstream(nameOf(Service, Index));
  Target.AdmissionControl->setDraining(On);
  Target.Draining = On;
  this->pollQueue(Target);
}

void CallSimulation::setSlowdown(size_t Service, size_t Index, double Factor) {
  this->upstream(nameOf(Service, Index)).Slowdown = Factor;
}

void CallSimulation::setErrorRate(size_t Service, size_t Index, double Share) {
  this->upstream(nameOf(Service, Index)).ErrorShare = Share;
}

void CallSimulation::call(
    TimePoint When, const std::string &Id,
    std::function<void(const SimulatedCallResult &)> OnEnd) {
  this->schedule(When, [this, Id, OnEnd = std::move(OnEnd)] {
    const TimePoint Began = this->Now;
    this->startCall(0, Id, Began + this->Options.Deadline,
                    [this, Id, Began, OnEnd](Outcome Result, bool Good, bool) {
                      OnEnd({.Result = Result,
                             .Succeeded = Good,
                             .Latency = this->Now - Began,
                             .Id = Id});
                    });
  });
}

void CallSimulation::startCall(size_t Service, const std::string &Id,
                               TimePoint Deadline,
                               std::function<void(Outcome, bool, bool)> OnEnd) {
  if (this->Options.NaiveRetries) {
    this->startNaiveCall(Service, Id, Deadline, 1, OnEnd);
    return;
  }
  auto Call = std::make_shared<PendingCall>();
  Call->Id = Id;
  Call->Service = Service;
  Call->Deadline = Deadline;
  Call->OnEnd = std::move(OnEnd);
  Call->StateMachine = std::make_unique<OutboundCall>(
      OutboundCallOptions{
          .ConfigSnapshot = this->ConfigSnapshot,
          .Service = &this->ConfigSnapshot->Services[Service],
          .RoutePolicy =
              &this->ConfigSnapshot->Services[Service].EffectivePolicy,
          .Route = RouteName("r"),
          .SoftDeadline = Deadline,
          .Deadline = Deadline},
      *this->UpstreamRouter, *this->Budgets[Service]);
  this->executeActions(Call, Call->StateMachine->start(this->Now));
}

/** The baseline: a random target, its own queue, and blind retries. */
void CallSimulation::startNaiveCall(
    size_t Service, const std::string &Id, TimePoint Deadline, int Attempt,
    const std::function<void(Outcome, bool, bool)> &OnEnd) {
  std::uniform_int_distribution<size_t> Draw(
      0, this->Options.UpstreamsPerService - 1);
  const VmName Name = nameOf(Service, Draw(this->Random));
  const auto Ended = std::make_shared<bool>(false);
  const auto End = [=, this](Outcome Result, bool Good) {
    if (*Ended)
      return;
    *Ended = true;
    if (Good || Attempt == BlindAttempts)
      OnEnd(Result, Good, false);
    else
      this->startNaiveCall(Service, Id, this->Now + this->Options.Deadline,
                           Attempt + 1, OnEnd);
  };
  this->schedule(this->Now + this->Options.LinkDelay, [=, this] {
    this->runTarget(this->upstream(Name), Id, Deadline,
                    [End](bool Good, bool) { End(Outcome::Answered, Good); });
  });
  this->schedule(Deadline, [End] { End(Outcome::Unknown, false); });
}

void CallSimulation::executeActions(const PendingCallPtr &Call,
                                    const OutboundCallActions &Actions) {
  for (const OutboundCallAction &Each : Actions) {
    if (const auto *Start = std::get_if<StartAttempt>(&Each))
      this->executeAction(Call, *Start);
    else if (const auto *Cancel = std::get_if<CancelAttempt>(&Each))
      this->executeAction(Call, *Cancel);
    else if (std::holds_alternative<ForwardResponse>(Each))
      Call->OnEnd(Outcome::Answered, Call->ResponseSucceeded,
                  Call->ResponseNoRetry);
    else
      Call->OnEnd(std::get<FailCall>(Each).Result, false, true);
  }
  this->scheduleTimer(Call);
}

void CallSimulation::scheduleTimer(const PendingCallPtr &Call) {
  if (Call->StateMachine->done())
    return;
  const TimePoint Due = Call->StateMachine->nextTimer();
  this->schedule(Due, [this, Call] {
    if (!Call->StateMachine->done() &&
        this->Now >= Call->StateMachine->nextTimer())
      this->executeActions(Call, Call->StateMachine->onTimer(this->Now));
  });
}

void CallSimulation::executeAction(const PendingCallPtr &Call,
                                   const StartAttempt &Action) {
  Upstream &Target = this->upstream(Action.Upstream.Name);
  const RequestKey Key{.Origin = CallerNode,
                       .OriginIncarnation = IncarnationId(1),
                       .Number = RequestNumber(++this->LastRequestNumber)};
  const uint64_t Life = Target.Incarnation;
  Call->SentTo[Action.Attempt] = {Target.Name, Life};
  Call->Keys[Action.Attempt] = Key;
  this->schedule(this->Now + this->Options.LinkDelay,
                 [this, &Target, Life, Key, Call, Attempt = Action.Attempt] {
                   this->runWhenUnfrozen(
                       Target, [this, &Target, Life, Key, Call, Attempt] {
                         this->deliver(Target, Life, Key, Call, Attempt);
                       });
                 });
}

void CallSimulation::executeAction(const PendingCallPtr &Call,
                                   const CancelAttempt &Action) {
  Upstream &Target = this->upstream(Action.Upstream.Name);
  const uint64_t Life = Call->SentTo.at(Action.Attempt).second;
  const RequestKey Key = Call->Keys.at(Action.Attempt);
  const auto Arrive = [this, &Target, Life, Key, Call,
                       Attempt = Action.Attempt] {
    const CancelState State =
        Life == Target.Incarnation
            ? Target.AdmissionControl->cancel(Key, this->Now)
            : CancelState::OtherIncarnation;
    if (State == CancelState::NotRun)
      Target.Calls.erase(Key);
    this->schedule(this->Now + this->Options.LinkDelay, [this, Call, Attempt,
                                                         State] {
      this->executeActions(
          Call, Call->StateMachine->onCancelReply(Attempt, State, this->Now));
    });
  };
  this->schedule(this->Now + this->Options.LinkDelay, [this, &Target, Arrive] {
    this->runWhenUnfrozen(Target, Arrive);
  });
}

void CallSimulation::deliver(Upstream &At, uint64_t Life, const RequestKey &Key,
                             const PendingCallPtr &Call, int Attempt) {
  if (Life != At.Incarnation) {
    this->schedule(this->Now + this->Options.LinkDelay, [this, Call, Attempt] {
      this->executeActions(
          Call, Call->StateMachine->onConnectionLost(Attempt, this->Now));
    });
    return;
  }
  At.Calls[Key] = {.Call = Call, .Attempt = Attempt};
  const AdmissionResult Result =
      At.AdmissionControl->admit({.Key = Key,
                                  .Route = RouteName("r"),
                                  .Priority = 1,
                                  .SoftDeadline = Call->Deadline,
                                  .Deadline = Call->Deadline},
                                 this->Now);
  if (Result.Decision == AdmissionDecision::Start)
    this->startRun(At, Key);
  else if (Result.Decision == AdmissionDecision::Refuse && !Result.Duplicate)
    this->reply(At, Life, Key, Outcome::NotRun, false, false);
  else if (Result.Decision == AdmissionDecision::Queue)
    this->schedule(Call->Deadline, [this, &At] { this->pollQueue(At); });
}

void CallSimulation::pollQueue(Upstream &At) {
  for (const Dequeued &Each : At.AdmissionControl->poll(this->Now)) {
    if (Each.Start)
      this->startRun(At, Each.Key);
    else
      this->reply(At, At.Incarnation, Each.Key, Outcome::NotRun, false, false);
  }
}

void CallSimulation::startRun(Upstream &At, const RequestKey &Key) {
  const auto Found = At.Calls.find(Key);
  if (Found == At.Calls.end())
    return;
  const PendingCallPtr Call = Found->second.Call;
  this->runTarget(
      At, Call->Id, Call->Deadline,
      [this, &At, Life = At.Incarnation, Key](bool Good, bool NoRetry) {
        this->finishRun(At, Life, Key, Good, NoRetry);
      });
}

void CallSimulation::finishRun(Upstream &At, uint64_t Life,
                               const RequestKey &Key, bool Good, bool NoRetry) {
  if (Life != At.Incarnation)
    return;
  this->runWhenUnfrozen(At, [this, &At, Life, Key, Good, NoRetry] {
    if (Life != At.Incarnation)
      return;
    At.AdmissionControl->onFinished(Key, this->Now);
    this->reply(At, Life, Key, Outcome::Answered, Good, NoRetry);
    this->pollQueue(At);
  });
}

void CallSimulation::reply(Upstream &At, uint64_t Life, const RequestKey &Key,
                           Outcome Result, bool Good, bool NoRetry) {
  const auto Found = At.Calls.find(Key);
  if (Found == At.Calls.end() || Life != At.Incarnation)
    return;
  const Upstream::ReceivedAttempt Ended = Found->second;
  At.Calls.erase(Found);
  const LoadReport Load{
      .SlotsUsed = static_cast<uint16_t>(At.AdmissionControl->running()),
      .Slots = static_cast<uint16_t>(this->Options.Slots),
      .Queued = static_cast<uint16_t>(At.AdmissionControl->queued()),
      .WaitMicros = At.AdmissionControl->reportedWaits(this->Now),
      .State = At.Draining ? MemberState::Draining : MemberState::Serving};
  this->schedule(this->Now + this->Options.LinkDelay, [=, this,
                                                       Name = At.Name] {
    this->UpstreamRouter->onLoad(Name, Load, this->Now);
    Ended.Call->ResponseSucceeded = Good;
    Ended.Call->ResponseNoRetry = NoRetry;
    this->executeActions(Ended.Call,
                         Ended.Call->StateMachine->onReply(
                             Ended.Attempt,
                             {.Result = Result,
                              .Status = Good ? 200 : 500,
                              .Reason = {},
                              .NoRetry = NoRetry && this->Options.SendNoRetry,
                              .ReachedTarget = Result != Outcome::NotRun},
                             this->Now));
  });
}

void CallSimulation::releaseSlot(Upstream &At) {
  At.BusySlots -= At.BusySlots > 0 ? 1 : 0;
  if (At.WaitQueue.empty())
    return;
  const auto Next = std::move(At.WaitQueue.front());
  At.WaitQueue.pop_front();
  Next();
}

void CallSimulation::runTarget(Upstream &At, const std::string &Id,
                               TimePoint Deadline,
                               const std::function<void(bool, bool)> &OnDone) {
  if (!this->Options.AdmissionEnabled && At.BusySlots >= this->Options.Slots) {
    At.WaitQueue.push_back([this, &At, Id, Deadline, OnDone] {
      this->runTarget(At, Id, Deadline, OnDone);
    });
    return;
  }
  At.BusySlots += 1;
  At.RequestCount += 1;
  this->TargetCalls[At.Service] += 1;
  if (At.Service == 0)
    this->RunCounts[Id] += 1;
  std::uniform_real_distribution<double> Draw(0, 1);
  const bool Fails = Draw(this->Random) < At.ErrorShare;
  const double Factor = Fails ? 0.1 : At.Slowdown * (0.5 + Draw(this->Random));
  const auto Took =
      std::chrono::duration_cast<Duration>(this->Options.ServiceTime * Factor);
  this->schedule(this->Now + Took, [=, this, &At, Life = At.Incarnation] {
    if (Life != At.Incarnation)
      return;
    if (Fails || At.Service + 1 == this->Options.ChainLength) {
      this->releaseSlot(At);
      OnDone(!Fails, false);
      return;
    }
    this->startCall(At.Service + 1, Id, Deadline,
                    [=, this, &At](Outcome, bool Good, bool) {
                      if (Life != At.Incarnation)
                        return;
                      this->releaseSlot(At);
                      OnDone(Good, !Good);
                    });
  });
}

} // namespace bluebellbarrow
