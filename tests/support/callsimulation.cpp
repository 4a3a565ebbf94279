#include "callsimulation.h"

#include <algorithm>
#include <deque>

namespace bluebellbarrow {

namespace {

constexpr int NaiveAttempts = 3;

const VmName CallerNode("caller");

VmName upstreamName(size_t Service, size_t Index) {
  return VmName("s" + std::to_string(Service) + "-" + std::to_string(Index));
}

} // namespace

/** An outbound call. */
struct CallSimulation::PendingCall {
  std::string Id;
  size_t Service = 0;
  TimePoint Deadline;
  std::unique_ptr<OutboundCall> StateMachine;

  /** Node of each attempt and its incarnation, by the attempt's index. */
  std::map<int, std::pair<VmName, uint64_t>> AttemptTargets;

  std::map<int, RequestKey> Keys;
  std::function<void(Outcome, bool, bool)> OnCompleted;
  bool ResponseSucceeded = false;
  bool ResponseNoRetry = false;
};

/** A target and its node. */
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
  double ErrorRate = 0;
  bool Draining = false;
  uint64_t RequestCount = 0;

  /** Busy slots and queue of the target when admission control is off. */
  size_t BusySlots = 0;
  std::deque<std::function<void()>> WaitQueue;
};

CallSimulation::CallSimulation(CallSimulationOptions NewOptions)
    : Options(std::move(NewOptions)), Random(this->Options.Seed),
      ConfigSnapshot(std::make_shared<Snapshot>()),
      UpstreamRouter(
          std::make_unique<Router>(CallerNode, this->Options.Seed + 1)),
      TargetCalls(this->Options.ChainLength) {
  Policy RoutePolicy = defaultPolicy();
  RoutePolicy.Retries = this->Options.Retries;
  RoutePolicy.RetryRatio = this->Options.RetryBudget;
  RoutePolicy.Idempotent = this->Options.Idempotent;
  RoutePolicy.BalancerName = this->Options.Balance;
  RoutePolicy.Slots = static_cast<int64_t>(this->Options.Slots);
  this->ConfigSnapshot->Domain = FailureDomain("d");
  for (size_t Service = 0; Service < this->Options.ChainLength; ++Service) {
    ServiceEntry Entry{.Name = ServiceName("s" + std::to_string(Service)),
                       .EffectivePolicy = RoutePolicy};
    for (size_t Index = 0; Index < this->Options.UpstreamsPerService; ++Index) {
      auto New = std::make_unique<Upstream>();
      New->Name = upstreamName(Service, Index);
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
        this->Budgets.size(), this->Now));
  }
  this->UpstreamRouter->setSnapshot(this->ConfigSnapshot, this->Now);
}

CallSimulation::~CallSimulation() = default;

CallSimulation::Upstream &CallSimulation::upstream(const VmName &Name) {
  return *this->Upstreams.at(Name);
}

uint64_t CallSimulation::targetCalls(size_t Service, size_t Index) const {
  return this->Upstreams.at(upstreamName(Service, Index))->RequestCount;
}

void CallSimulation::schedule(TimePoint Time, std::function<void()> Callback) {
  this->Events.emplace(std::max(Time, this->Now), std::move(Callback));
}

void CallSimulation::run() {
  while (!this->Events.empty()) {
    const auto Next = this->Events.begin();
    this->Now = Next->first;
    const auto Callback = std::move(Next->second);
    this->Events.erase(Next);
    Callback();
  }
}

void CallSimulation::runWhenUnfrozen(Upstream &Target,
                                     std::function<void()> Callback) {
  if (this->Now >= Target.FrozenUntil) {
    Callback();
    return;
  }
  this->schedule(Target.FrozenUntil, std::move(Callback));
}

void CallSimulation::restart(size_t Service, size_t Index) {
  Upstream &Target = this->upstream(upstreamName(Service, Index));
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
  Upstream &Target = this->upstream(upstreamName(Service, Index));
  for (const auto &[Key, Received] : Target.Calls)
    this->schedule(
        this->Now + this->Options.LinkDelay,
        [this, Call = Received.Call, Attempt = Received.Attempt] {
          this->executeActions(
              Call, Call->StateMachine->onConnectionLost(Attempt, this->Now));
        });
}

void CallSimulation::freeze(size_t Service, size_t Index, Duration Length) {
  this->upstream(upstreamName(Service, Index)).FrozenUntil = this->Now + Length;
}

void CallSimulation::setDraining(size_t Service, size_t Index, bool On) {
  Upstream &Target = this->upstream(upstreamName(Service, Index));
  Target.AdmissionControl->setDraining(On);
  Target.Draining = On;
  this->pollQueue(Target);
}

void CallSimulation::setSlowdown(size_t Service, size_t Index, double Factor) {
  this->upstream(upstreamName(Service, Index)).Slowdown = Factor;
}

void CallSimulation::setErrorRate(size_t Service, size_t Index, double Share) {
  this->upstream(upstreamName(Service, Index)).ErrorRate = Share;
}

void CallSimulation::call(
    TimePoint Time, const std::string &Id,
    std::function<void(const SimulatedCallResult &)> OnCompleted) {
  this->schedule(Time, [this, Id, OnCompleted = std::move(OnCompleted)] {
    const TimePoint StartedAt = this->Now;
    this->startCall(0, Id, StartedAt + this->Options.Deadline,
                    [this, Id, StartedAt, OnCompleted](Outcome Result,
                                                       bool Succeeded, bool) {
                      OnCompleted({.Result = Result,
                                   .Succeeded = Succeeded,
                                   .Latency = this->Now - StartedAt,
                                   .Id = Id});
                    });
  });
}

void CallSimulation::startCall(
    size_t Service, const std::string &Id, TimePoint Deadline,
    std::function<void(Outcome, bool, bool)> OnCompleted) {
  if (this->Options.NaiveRetries) {
    this->startNaiveCall(Service, Id, Deadline, 1, OnCompleted);
    return;
  }
  auto Call = std::make_shared<PendingCall>();
  Call->Id = Id;
  Call->Service = Service;
  Call->Deadline = Deadline;
  Call->OnCompleted = std::move(OnCompleted);
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

/** Baseline: a random target that queues without limit, and naive retries. */
void CallSimulation::startNaiveCall(
    size_t Service, const std::string &Id, TimePoint Deadline, int Attempt,
    const std::function<void(Outcome, bool, bool)> &OnCompleted) {
  std::uniform_int_distribution<size_t> RandomIndex(
      0, this->Options.UpstreamsPerService - 1);
  const VmName Name = upstreamName(Service, RandomIndex(this->Random));
  const auto Completed = std::make_shared<bool>(false);
  const auto Complete = [=, this](Outcome Result, bool Succeeded) {
    if (*Completed)
      return;
    *Completed = true;
    if (Succeeded || Attempt == NaiveAttempts)
      OnCompleted(Result, Succeeded, false);
    else
      this->startNaiveCall(Service, Id, this->Now + this->Options.Deadline,
                           Attempt + 1, OnCompleted);
  };
  this->schedule(this->Now + this->Options.LinkDelay, [=, this] {
    this->runTarget(this->upstream(Name), Id, Deadline,
                    [Complete](bool Succeeded, bool) {
                      Complete(Outcome::Answered, Succeeded);
                    });
  });
  this->schedule(Deadline, [Complete] { Complete(Outcome::Unknown, false); });
}

void CallSimulation::executeActions(const PendingCallPtr &Call,
                                    const OutboundCallActions &Actions) {
  for (const OutboundCallAction &Action : Actions) {
    if (const auto *Start = std::get_if<StartAttempt>(&Action))
      this->executeAction(Call, *Start);
    else if (const auto *Cancel = std::get_if<CancelAttempt>(&Action))
      this->executeAction(Call, *Cancel);
    else if (std::holds_alternative<ForwardResponse>(Action))
      Call->OnCompleted(Outcome::Answered, Call->ResponseSucceeded,
                        Call->ResponseNoRetry);
    else
      Call->OnCompleted(std::get<FailCall>(Action).Result, false, true);
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
  const uint64_t Incarnation = Target.Incarnation;
  Call->AttemptTargets[Action.Attempt] = {Target.Name, Incarnation};
  Call->Keys[Action.Attempt] = Key;
  this->schedule(
      this->Now + this->Options.LinkDelay,
      [this, &Target, Incarnation, Key, Call, Attempt = Action.Attempt] {
        this->runWhenUnfrozen(
            Target, [this, &Target, Incarnation, Key, Call, Attempt] {
              this->deliver(Target, Incarnation, Key, Call, Attempt);
            });
      });
}

void CallSimulation::executeAction(const PendingCallPtr &Call,
                                   const CancelAttempt &Action) {
  Upstream &Target = this->upstream(Action.Upstream.Name);
  const uint64_t Incarnation = Call->AttemptTargets.at(Action.Attempt).second;
  const RequestKey Key = Call->Keys.at(Action.Attempt);
  const auto DeliverCancel = [this, &Target, Incarnation, Key, Call,
                              Attempt = Action.Attempt] {
    const CancelState State =
        Incarnation == Target.Incarnation
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
  this->schedule(this->Now + this->Options.LinkDelay,
                 [this, &Target, DeliverCancel] {
                   this->runWhenUnfrozen(Target, DeliverCancel);
                 });
}

void CallSimulation::deliver(Upstream &Target, uint64_t Incarnation,
                             const RequestKey &Key, const PendingCallPtr &Call,
                             int Attempt) {
  if (Incarnation != Target.Incarnation) {
    this->schedule(this->Now + this->Options.LinkDelay, [this, Call, Attempt] {
      this->executeActions(
          Call, Call->StateMachine->onConnectionLost(Attempt, this->Now));
    });
    return;
  }
  Target.Calls[Key] = {.Call = Call, .Attempt = Attempt};
  const AdmissionResult Result =
      Target.AdmissionControl->admit({.Key = Key,
                                      .Route = RouteName("r"),
                                      .Priority = 1,
                                      .SoftDeadline = Call->Deadline,
                                      .Deadline = Call->Deadline},
                                     this->Now);
  if (Result.Decision == AdmissionDecision::Start)
    this->startRun(Target, Key);
  else if (Result.Decision == AdmissionDecision::Refuse && !Result.Duplicate)
    this->reply(Target, Incarnation, Key, Outcome::NotRun, false, false);
  else if (Result.Decision == AdmissionDecision::Queue)
    this->schedule(Call->Deadline,
                   [this, &Target] { this->pollQueue(Target); });
}

void CallSimulation::pollQueue(Upstream &Target) {
  for (const Dequeued &Request : Target.AdmissionControl->poll(this->Now)) {
    if (Request.Start)
      this->startRun(Target, Request.Key);
    else
      this->reply(Target, Target.Incarnation, Request.Key, Outcome::NotRun,
                  false, false);
  }
}

void CallSimulation::startRun(Upstream &Target, const RequestKey &Key) {
  const auto Found = Target.Calls.find(Key);
  if (Found == Target.Calls.end())
    return;
  const PendingCallPtr Call = Found->second.Call;
  this->runTarget(Target, Call->Id, Call->Deadline,
                  [this, &Target, Incarnation = Target.Incarnation,
                   Key](bool Succeeded, bool NoRetry) {
                    this->finishRun(Target, Incarnation, Key, Succeeded,
                                    NoRetry);
                  });
}

void CallSimulation::finishRun(Upstream &Target, uint64_t Incarnation,
                               const RequestKey &Key, bool Succeeded,
                               bool NoRetry) {
  if (Incarnation != Target.Incarnation)
    return;
  this->runWhenUnfrozen(Target,
                        [this, &Target, Incarnation, Key, Succeeded, NoRetry] {
                          if (Incarnation != Target.Incarnation)
                            return;
                          Target.AdmissionControl->onFinished(Key, this->Now);
                          this->reply(Target, Incarnation, Key,
                                      Outcome::Answered, Succeeded, NoRetry);
                          this->pollQueue(Target);
                        });
}

void CallSimulation::reply(Upstream &Target, uint64_t Incarnation,
                           const RequestKey &Key, Outcome Result,
                           bool Succeeded, bool NoRetry) {
  const auto Found = Target.Calls.find(Key);
  if (Found == Target.Calls.end() || Incarnation != Target.Incarnation)
    return;
  const Upstream::ReceivedAttempt Received = Found->second;
  Target.Calls.erase(Found);
  const LoadReport Load{
      .SlotsUsed = static_cast<uint16_t>(Target.AdmissionControl->running()),
      .Slots = static_cast<uint16_t>(this->Options.Slots),
      .Queued = static_cast<uint16_t>(Target.AdmissionControl->queued()),
      .ExpectedWaitMicros = Target.AdmissionControl->reportedWaits(this->Now),
      .State = Target.Draining ? MemberState::Draining : MemberState::Serving};
  this->schedule(this->Now + this->Options.LinkDelay, [=, this,
                                                       Name = Target.Name] {
    this->UpstreamRouter->onLoad(Name, Load, this->Now);
    Received.Call->ResponseSucceeded = Succeeded;
    Received.Call->ResponseNoRetry = NoRetry;
    this->executeActions(Received.Call,
                         Received.Call->StateMachine->onReply(
                             Received.Attempt,
                             {.Result = Result,
                              .Status = Succeeded ? 200 : 500,
                              .Reason = {},
                              .NoRetry = NoRetry && this->Options.SendNoRetry,
                              .ReachedTarget = Result != Outcome::NotRun},
                             this->Now));
  });
}

void CallSimulation::releaseSlot(Upstream &Target) {
  Target.BusySlots -= Target.BusySlots > 0 ? 1 : 0;
  if (Target.WaitQueue.empty())
    return;
  const auto Next = std::move(Target.WaitQueue.front());
  Target.WaitQueue.pop_front();
  Next();
}

void CallSimulation::runTarget(Upstream &Target, const std::string &Id,
                               TimePoint Deadline,
                               const std::function<void(bool, bool)> &OnDone) {
  if (!this->Options.AdmissionEnabled &&
      Target.BusySlots >= this->Options.Slots) {
    Target.WaitQueue.push_back([this, &Target, Id, Deadline, OnDone] {
      this->runTarget(Target, Id, Deadline, OnDone);
    });
    return;
  }
  Target.BusySlots += 1;
  Target.RequestCount += 1;
  this->TargetCalls[Target.Service] += 1;
  if (Target.Service == 0)
    this->RunCounts[Id] += 1;
  std::uniform_real_distribution<double> Uniform(0, 1);
  const bool Fails = Uniform(this->Random) < Target.ErrorRate;
  const double Factor =
      Fails ? 0.1 : Target.Slowdown * (0.5 + Uniform(this->Random));
  const auto ServiceTime =
      std::chrono::duration_cast<Duration>(this->Options.ServiceTime * Factor);
  this->schedule(this->Now + ServiceTime, [=, this, &Target,
                                           Incarnation = Target.Incarnation] {
    if (Incarnation != Target.Incarnation)
      return;
    if (Fails || Target.Service + 1 == this->Options.ChainLength) {
      this->releaseSlot(Target);
      OnDone(!Fails, false);
      return;
    }
    this->startCall(Target.Service + 1, Id, Deadline,
                    [=, this, &Target](Outcome, bool Succeeded, bool) {
                      if (Incarnation != Target.Incarnation)
                        return;
                      this->releaseSlot(Target);
                      OnDone(Succeeded, !Succeeded);
                    });
  });
}

} // namespace bluebellbarrow
