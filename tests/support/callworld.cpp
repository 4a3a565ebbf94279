#include "callworld.h"

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
struct CallWorld::Pending {
  std::string Id;
  size_t Service = 0;
  TimePoint Deadline;
  std::unique_ptr<Exchange> Decisions;
  std::map<int, std::pair<VmName, uint64_t>> SentTo;
  std::map<int, RequestKey> Keys;
  std::function<void(Outcome, bool, bool)> OnEnd;
  bool AnswerGood = false;
  bool AnswerNoRetry = false;
};

/** A target with its node. */
struct CallWorld::Upstream {
  struct Arrived {
    PendingPtr Call;
    int Attempt = 0;
  };

  VmName Name;
  size_t Service = 0;
  uint64_t Life = 1;
  std::unique_ptr<Admission> Gate;
  std::map<RequestKey, Arrived> Calls;
  TimePoint FrozenUntil;
  double Slow = 1;
  double ErrorShare = 0;
  bool Draining = false;
  uint64_t Count = 0;

  /** Slots of the target itself, when its node admits everything. */
  size_t Busy = 0;
  std::deque<std::function<void()>> Waiting;
};

CallWorld::CallWorld(CallWorldOptions NewOptions)
    : Options(std::move(NewOptions)), Random(this->Options.Seed),
      Map(std::make_shared<Snapshot>()),
      Routes(std::make_unique<Router>(CallerNode, this->Options.Seed + 1)),
      TargetCalls(this->Options.Chain) {
  Policy Rules = defaultPolicy();
  Rules.Retries = this->Options.Retries;
  Rules.RetryBudget = this->Options.RetryBudget;
  Rules.Idempotent = this->Options.Idempotent;
  Rules.Balance = this->Options.Balance;
  Rules.Slots = static_cast<int64_t>(this->Options.Slots);
  this->Map->Domain = FailureDomain("d");
  for (size_t Service = 0; Service < this->Options.Chain; ++Service) {
    ServiceEntry Entry{.Name = ServiceName("s" + std::to_string(Service)),
                       .Effective = Rules};
    for (size_t Index = 0; Index < this->Options.Upstreams; ++Index) {
      auto New = std::make_unique<Upstream>();
      New->Name = nameOf(Service, Index);
      New->Service = Service;
      New->Gate = std::make_unique<Admission>(AdmissionLimits{
          .Slots = this->Options.Slots, .Queue = this->Options.Queue});
      Entry.Upstreams.push_back({.Name = New->Name,
                                 .Ip = Address("10.0.0.1"),
                                 .Domain = FailureDomain("d"),
                                 .Service = Entry.Name});
      this->Upstreams.emplace(New->Name, std::move(New));
    }
    this->Map->Services.push_back(std::move(Entry));
    this->Budgets.push_back(std::make_unique<RetryBudget>(
        RetryBudgetOptions{.RetriesPerRequest = this->Options.RetryBudget,
                           .MinRetriesPerSecond = 10,
                           .InitialBalance = 10},
        this->Now));
  }
  this->Routes->setSnapshot(this->Map, this->Now);
}

CallWorld::~CallWorld() = default;

CallWorld::Upstream &CallWorld::upstream(const VmName &Name) {
  return *this->Upstreams.at(Name);
}

uint64_t CallWorld::targetCalls(size_t Service, size_t Index) const {
  return this->Upstreams.at(nameOf(Service, Index))->Count;
}

void CallWorld::at(TimePoint When, std::function<void()> Work) {
  this->Events.emplace(std::max(When, this->Now), std::move(Work));
}

void CallWorld::run() {
  while (!this->Events.empty()) {
    const auto Next = this->Events.begin();
    this->Now = Next->first;
    const auto Work = std::move(Next->second);
    this->Events.erase(Next);
    Work();
  }
}

void CallWorld::whenAwake(Upstream &At, std::function<void()> Work) {
  if (this->Now >= At.FrozenUntil) {
    Work();
    return;
  }
  this->at(At.FrozenUntil, std::move(Work));
}

void CallWorld::restart(size_t Service, size_t Index) {
  Upstream &Target = this->upstream(nameOf(Service, Index));
  Target.Life += 1;
  Target.Gate = std::make_unique<Admission>(AdmissionLimits{
      .Slots = this->Options.Slots, .Queue = this->Options.Queue});
  Target.FrozenUntil = TimePoint();
  Target.Draining = false;
  Target.Busy = 0;
  Target.Waiting.clear();
  this->breakStreams(Service, Index);
  Target.Calls.clear();
}

void CallWorld::breakStreams(size_t Service, size_t Index) {
  Upstream &Target = this->upstream(nameOf(Service, Index));
  for (const auto &[Key, Each] : Target.Calls)
    this->at(this->Now + this->Options.LinkDelay, [this, Call = Each.Call,
                                                   Attempt = Each.Attempt] {
      this->carryOut(Call, Call->Decisions->onLost(Attempt, this->Now));
    });
}

void CallWorld::freeze(size_t Service, size_t Index, Duration Length) {
  this->upstream(nameOf(Service, Index)).FrozenUntil = this->Now + Length;
}

void CallWorld::setDraining(size_t Service, size_t Index, bool On) {
  Upstream &Target = this->upstream(nameOf(Service, Index));
  Target.Gate->setDraining(On);
  Target.Draining = On;
  this->pollQueue(Target);
}

void CallWorld::setSlow(size_t Service, size_t Index, double Factor) {
  this->upstream(nameOf(Service, Index)).Slow = Factor;
}

void CallWorld::setErrors(size_t Service, size_t Index, double Share) {
  this->upstream(nameOf(Service, Index)).ErrorShare = Share;
}

void CallWorld::call(TimePoint When, const std::string &Id,
                     std::function<void(const CallEnded &)> OnEnd) {
  this->at(When, [this, Id, OnEnd = std::move(OnEnd)] {
    const TimePoint Began = this->Now;
    this->begin(0, Id, Began + this->Options.Deadline,
                [this, Id, Began, OnEnd](Outcome Result, bool Good, bool) {
                  OnEnd({.Result = Result,
                         .Good = Good,
                         .Took = this->Now - Began,
                         .Id = Id});
                });
  });
}

void CallWorld::begin(size_t Service, const std::string &Id, TimePoint Deadline,
                      std::function<void(Outcome, bool, bool)> OnEnd) {
  if (this->Options.BlindRetries) {
    this->beginBlind(Service, Id, Deadline, 1, OnEnd);
    return;
  }
  auto Call = std::make_shared<Pending>();
  Call->Id = Id;
  Call->Service = Service;
  Call->Deadline = Deadline;
  Call->OnEnd = std::move(OnEnd);
  Call->Decisions = std::make_unique<Exchange>(
      ExchangeOptions{.Map = this->Map,
                      .Service = &this->Map->Services[Service],
                      .Rules = &this->Map->Services[Service].Effective,
                      .Route = RouteName("r"),
                      .Aim = Deadline,
                      .Deadline = Deadline},
      *this->Routes, *this->Budgets[Service]);
  this->carryOut(Call, Call->Decisions->start(this->Now));
}

/** The baseline: a random target, its own queue, and blind retries. */
void CallWorld::beginBlind(
    size_t Service, const std::string &Id, TimePoint Deadline, int Attempt,
    const std::function<void(Outcome, bool, bool)> &OnEnd) {
  std::uniform_int_distribution<size_t> Draw(0, this->Options.Upstreams - 1);
  const VmName Name = nameOf(Service, Draw(this->Random));
  const auto Ended = std::make_shared<bool>(false);
  const auto End = [=, this](Outcome Result, bool Good) {
    if (*Ended)
      return;
    *Ended = true;
    if (Good || Attempt == BlindAttempts)
      OnEnd(Result, Good, false);
    else
      this->beginBlind(Service, Id, this->Now + this->Options.Deadline,
                       Attempt + 1, OnEnd);
  };
  this->at(this->Now + this->Options.LinkDelay, [=, this] {
    this->runTarget(this->upstream(Name), Id, Deadline,
                    [End](bool Good, bool) { End(Outcome::Answered, Good); });
  });
  this->at(Deadline, [End] { End(Outcome::Unknown, false); });
}

void CallWorld::carryOut(const PendingPtr &Call,
                         const ExchangeActions &Actions) {
  for (const ExchangeAction &Each : Actions) {
    if (const auto *Start = std::get_if<StartAttempt>(&Each))
      this->act(Call, *Start);
    else if (const auto *Cancel = std::get_if<CancelAttempt>(&Each))
      this->act(Call, *Cancel);
    else if (std::holds_alternative<ForwardAnswer>(Each))
      Call->OnEnd(Outcome::Answered, Call->AnswerGood, Call->AnswerNoRetry);
    else
      Call->OnEnd(std::get<FailCall>(Each).Result, false, true);
  }
  this->scheduleTime(Call);
}

void CallWorld::scheduleTime(const PendingPtr &Call) {
  if (Call->Decisions->done())
    return;
  const TimePoint Due = Call->Decisions->nextDeadline();
  this->at(Due, [this, Call] {
    if (!Call->Decisions->done() &&
        this->Now >= Call->Decisions->nextDeadline())
      this->carryOut(Call, Call->Decisions->onTime(this->Now));
  });
}

void CallWorld::act(const PendingPtr &Call, const StartAttempt &Action) {
  Upstream &Target = this->upstream(Action.Upstream.Name);
  const RequestKey Key{.Origin = CallerNode,
                       .Life = Incarnation(1),
                       .Number = RequestNumber(++this->LastNumber)};
  const uint64_t Life = Target.Life;
  Call->SentTo[Action.Attempt] = {Target.Name, Life};
  Call->Keys[Action.Attempt] = Key;
  this->at(this->Now + this->Options.LinkDelay,
           [this, &Target, Life, Key, Call, Attempt = Action.Attempt] {
             this->whenAwake(Target, [this, &Target, Life, Key, Call, Attempt] {
               this->arrive(Target, Life, Key, Call, Attempt);
             });
           });
}

void CallWorld::act(const PendingPtr &Call, const CancelAttempt &Action) {
  Upstream &Target = this->upstream(Action.Upstream.Name);
  const uint64_t Life = Call->SentTo.at(Action.Attempt).second;
  const RequestKey Key = Call->Keys.at(Action.Attempt);
  const auto Arrive = [this, &Target, Life, Key, Call,
                       Attempt = Action.Attempt] {
    const CancelState State = Life == Target.Life
                                  ? Target.Gate->cancel(Key, this->Now)
                                  : CancelState::OtherLife;
    if (State == CancelState::NotRun)
      Target.Calls.erase(Key);
    this->at(this->Now + this->Options.LinkDelay, [this, Call, Attempt, State] {
      this->carryOut(Call,
                     Call->Decisions->onCancelReply(Attempt, State, this->Now));
    });
  };
  this->at(this->Now + this->Options.LinkDelay,
           [this, &Target, Arrive] { this->whenAwake(Target, Arrive); });
}

void CallWorld::arrive(Upstream &At, uint64_t Life, const RequestKey &Key,
                       const PendingPtr &Call, int Attempt) {
  if (Life != At.Life) {
    this->at(this->Now + this->Options.LinkDelay, [this, Call, Attempt] {
      this->carryOut(Call, Call->Decisions->onLost(Attempt, this->Now));
    });
    return;
  }
  At.Calls[Key] = {.Call = Call, .Attempt = Attempt};
  const AdmitResult Result = At.Gate->admit({.Key = Key,
                                             .Route = RouteName("r"),
                                             .Priority = 1,
                                             .Aim = Call->Deadline,
                                             .Deadline = Call->Deadline},
                                            this->Now);
  if (Result.What == Admitted::Start)
    this->startRun(At, Key);
  else if (Result.What == Admitted::Refuse && !Result.Duplicate)
    this->reply(At, Life, Key, Outcome::NotRun, false, false);
  else if (Result.What == Admitted::Queue)
    this->at(Call->Deadline, [this, &At] { this->pollQueue(At); });
}

void CallWorld::pollQueue(Upstream &At) {
  for (const Dequeued &Each : At.Gate->poll(this->Now)) {
    if (Each.Start)
      this->startRun(At, Each.Key);
    else
      this->reply(At, At.Life, Each.Key, Outcome::NotRun, false, false);
  }
}

void CallWorld::startRun(Upstream &At, const RequestKey &Key) {
  const auto Found = At.Calls.find(Key);
  if (Found == At.Calls.end())
    return;
  const PendingPtr Call = Found->second.Call;
  this->runTarget(At, Call->Id, Call->Deadline,
                  [this, &At, Life = At.Life, Key](bool Good, bool NoRetry) {
                    this->finishRun(At, Life, Key, Good, NoRetry);
                  });
}

void CallWorld::finishRun(Upstream &At, uint64_t Life, const RequestKey &Key,
                          bool Good, bool NoRetry) {
  if (Life != At.Life)
    return;
  this->whenAwake(At, [this, &At, Life, Key, Good, NoRetry] {
    if (Life != At.Life)
      return;
    At.Gate->onFinished(Key, this->Now);
    this->reply(At, Life, Key, Outcome::Answered, Good, NoRetry);
    this->pollQueue(At);
  });
}

void CallWorld::reply(Upstream &At, uint64_t Life, const RequestKey &Key,
                      Outcome Result, bool Good, bool NoRetry) {
  const auto Found = At.Calls.find(Key);
  if (Found == At.Calls.end() || Life != At.Life)
    return;
  const Upstream::Arrived Ended = Found->second;
  At.Calls.erase(Found);
  const LoadReport Load{.SlotsUsed = static_cast<uint16_t>(At.Gate->running()),
                        .Slots = static_cast<uint16_t>(this->Options.Slots),
                        .Queued = static_cast<uint16_t>(At.Gate->queued()),
                        .WaitMicros = At.Gate->reportedWaits(this->Now),
                        .State = At.Draining ? MemberState::Draining
                                             : MemberState::Serving};
  this->at(this->Now + this->Options.LinkDelay, [=, this, Name = At.Name] {
    this->Routes->onLoad(Name, Load, this->Now);
    Ended.Call->AnswerGood = Good;
    Ended.Call->AnswerNoRetry = NoRetry;
    this->carryOut(Ended.Call,
                   Ended.Call->Decisions->onReply(
                       Ended.Attempt,
                       {.Result = Result,
                        .Status = Good ? 200 : 500,
                        .Reason = {},
                        .NoRetry = NoRetry && this->Options.MarkFailures,
                        .ReachedTarget = Result != Outcome::NotRun},
                       this->Now));
  });
}

void CallWorld::releaseSlot(Upstream &At) {
  At.Busy -= At.Busy > 0 ? 1 : 0;
  if (At.Waiting.empty())
    return;
  const auto Next = std::move(At.Waiting.front());
  At.Waiting.pop_front();
  Next();
}

void CallWorld::runTarget(Upstream &At, const std::string &Id,
                          TimePoint Deadline,
                          const std::function<void(bool, bool)> &OnDone) {
  if (!this->Options.Admit && At.Busy >= this->Options.Slots) {
    At.Waiting.push_back([this, &At, Id, Deadline, OnDone] {
      this->runTarget(At, Id, Deadline, OnDone);
    });
    return;
  }
  At.Busy += 1;
  At.Count += 1;
  this->TargetCalls[At.Service] += 1;
  if (At.Service == 0)
    this->Runs[Id] += 1;
  std::uniform_real_distribution<double> Draw(0, 1);
  const bool Fails = Draw(this->Random) < At.ErrorShare;
  const double Factor = Fails ? 0.1 : At.Slow * (0.5 + Draw(this->Random));
  const auto Took =
      std::chrono::duration_cast<Duration>(this->Options.Service * Factor);
  this->at(this->Now + Took, [=, this, &At, Life = At.Life] {
    if (Life != At.Life)
      return;
    if (Fails || At.Service + 1 == this->Options.Chain) {
      this->releaseSlot(At);
      OnDone(!Fails, false);
      return;
    }
    this->begin(At.Service + 1, Id, Deadline,
                [=, this, &At](Outcome, bool Good, bool) {
                  if (Life != At.Life)
                    return;
                  this->releaseSlot(At);
                  OnDone(Good, !Good);
                });
  });
}

} // namespace bluebellbarrow
