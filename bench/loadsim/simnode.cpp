#include "simnode.h"

namespace bluebellbarrow {

namespace {

/** Interval at which a node polls its admission control. */
constexpr Duration PollPeriod = milliseconds(25);

/** Time after which a call to a VM that is down fails. */
constexpr Duration ConnectFailureDelay = milliseconds(5);

/** Slots of a node whose admission control is disabled. */
constexpr size_t UnlimitedSlots = 1000000;

constexpr int StatusOk = 200;
constexpr int StatusError = 500;

} // namespace

/** One call at the node that the caller reached. */
struct SimNode::PendingCall {
  const KindModel *Kind = nullptr;
  std::function<void(const SimCallResult &)> OnFinished;
  std::unique_ptr<OutboundCall> Outbound;
  TimePoint SoftDeadline;
  TimePoint Deadline;
  std::map<int, RequestKey> Keys;
  bool TargetSucceeded = false;
  bool Finished = false;
};

SimNode::SimNode(SimContext &Context, const Vm &ListedVm,
                 const ServiceModel &Service, double Speed, uint64_t Seed)
    : Context(Context), ListedVm(ListedVm),
      Target(
          Context.Events, Service, Speed, Seed,
          [this](const KindModel &Kind, TimePoint Deadline,
                 const std::function<void(bool)> &OnFinished) {
            this->call(
                {.Kind = &Kind,
                 .Deadline = std::min(Kind.Deadline,
                                      Deadline - this->Context.Events.now()),
                 .OnFinished = [OnFinished](const SimCallResult &CallResult) {
                   OnFinished(CallResult.Succeeded);
                 }});
          }),
      Budgets(Seed), Seed(Seed) {
  this->start();
  this->pollPeriodically();
}

void SimNode::powerCycle(Duration Downtime) {
  this->Down = true;
  this->Incarnation += 1;
  this->failOpenCalls();
  this->InboundRequests.clear();
  this->Target.restart();
  this->Context.Events.scheduleAfter(Downtime, [this] {
    this->Target.restart();
    this->start();
  });
}

void SimNode::failOpenCalls() {
  const std::set<PendingCallPtr> Calls = std::move(this->OpenCalls);
  this->OpenCalls.clear();
  for (const PendingCallPtr &Call : Calls)
    this->finishCall(Call, {.Result = Outcome::Unknown});
}

void SimNode::start() {
  const VariantModel &Variant = this->Context.Variant;
  const size_t Slots = static_cast<size_t>(this->ListedVm.Slots);
  this->Incarnation += 1;
  this->Down = false;
  this->AdmissionControl = std::make_unique<Admission>(
      AdmissionLimits{
          .Slots = Variant.AdmissionEnabled ? Slots : UnlimitedSlots,
          .MaxQueued =
              static_cast<size_t>(Variant.RouteDefaults.MaxQueueLength)},
      Variant.Admission);
  if (this->UpstreamRouter != nullptr)
    this->OldRouters.push_back(std::move(this->UpstreamRouter));
  this->UpstreamRouter = std::make_unique<Router>(
      this->ListedVm.Name, this->Seed + this->Incarnation);
  this->UpstreamRouter->setSnapshot(this->Context.ConfigSnapshot,
                                    this->Context.Events.now());
}

void SimNode::processMessage(std::function<void()> Callback) {
  EventQueue &Events = this->Context.Events;
  this->ProcessorFreeAt = std::max(this->ProcessorFreeAt, Events.now()) +
                          this->Context.Model.Mesh.MessageCost;
  Events.scheduleAt(this->ProcessorFreeAt, std::move(Callback));
}

void SimNode::sendTo(SimNode &Receiver, std::function<void()> Callback) {
  const MeshModel &Mesh = this->Context.Model.Mesh;
  Duration Delay = Mesh.CrossDomainDelay;
  if (&Receiver == this)
    Delay = Duration::zero();
  else if (Receiver.ListedVm.Domain == this->ListedVm.Domain)
    Delay = Mesh.SameDomainDelay;
  this->Context.Events.scheduleAfter(
      Delay, [&Receiver, Callback = std::move(Callback)] {
        Receiver.processMessage(Callback);
      });
}

void SimNode::call(SimCall Params) {
  if (this->Down) {
    this->Context.Events.scheduleAfter(
        ConnectFailureDelay, [Params = std::move(Params)] {
          Params.OnFinished({.Result = Outcome::NotRun});
        });
    return;
  }
  this->processMessage([this, Params = std::move(Params)] {
    const TimePoint Now = this->Context.Events.now();
    const KindModel &Kind = *Params.Kind;
    auto Call = std::make_shared<PendingCall>();
    Call->Kind = Params.Kind;
    Call->OnFinished = Params.OnFinished;
    Call->Deadline = Now + std::min(Params.Deadline, Kind.Timeout);
    Call->SoftDeadline = std::min(Call->Deadline, Now + Kind.LatencyObjective);
    const ServiceName Service(Kind.Service);
    Call->Outbound = std::make_unique<OutboundCall>(
        OutboundCallOptions{
            .ConfigSnapshot = this->Context.ConfigSnapshot,
            .Service = this->Context.ConfigSnapshot->findService(Service),
            .RoutePolicy = &this->Context.RoutePolicies.at(&Kind),
            .Route = RouteName(Kind.Name),
            .SoftDeadline = Call->SoftDeadline,
            .Deadline = Call->Deadline},
        *this->UpstreamRouter,
        this->Budgets.budgetFor(Service, this->Context.Variant.RouteDefaults,
                                this->Context.Nodes.size(), Now));
    this->OpenCalls.insert(Call);
    this->executeActions(Call, Call->Outbound->start(Now));
  });
}

void SimNode::executeActions(const PendingCallPtr &Call,
                             const OutboundCallActions &Actions) {
  for (const OutboundCallAction &Action : Actions) {
    if (const auto *Start = std::get_if<StartAttempt>(&Action))
      this->executeAction(Call, *Start);
    else if (const auto *Cancel = std::get_if<CancelAttempt>(&Action))
      this->executeAction(Call, *Cancel);
    else if (const auto *Fail = std::get_if<FailCall>(&Action))
      this->finishCall(
          Call, {.Result = Fail->Result, .RetryAfter = Fail->RetryAfter});
    else
      this->finishCall(Call, {.Result = Outcome::Answered,
                              .Succeeded = Call->TargetSucceeded});
  }
  this->scheduleTimer(Call);
}

void SimNode::finishCall(const PendingCallPtr &Call,
                         const SimCallResult &CallResult) {
  if (Call->Finished)
    return;
  Call->Finished = true;
  this->OpenCalls.erase(Call);
  Call->OnFinished(CallResult);
}

void SimNode::scheduleTimer(const PendingCallPtr &Call) {
  if (Call->Outbound->done())
    return;
  this->Context.Events.scheduleAt(Call->Outbound->nextTimer(), [this, Call] {
    const TimePoint Now = this->Context.Events.now();
    if (!Call->Outbound->done() && Now >= Call->Outbound->nextTimer())
      this->executeActions(Call, Call->Outbound->onTimer(Now));
  });
}

void SimNode::executeAction(const PendingCallPtr &Call,
                            const StartAttempt &Action) {
  SimNode &Receiver = *this->Context.Nodes.at(Action.Upstream.Name);
  const RequestKey Key{.Origin = this->ListedVm.Name,
                       .OriginIncarnation = IncarnationId(this->Incarnation),
                       .Number = RequestNumber(++this->LastRequestNumber)};
  Call->Keys[Action.Attempt] = Key;
  this->sendTo(Receiver,
               [this, &Receiver, Key, Call, Attempt = Action.Attempt] {
                 Receiver.onRequest(Key, {.Call = Call,
                                          .Attempt = Attempt,
                                          .Origin = this,
                                          .Deadline = Call->Deadline});
               });
}

void SimNode::executeAction(const PendingCallPtr &Call,
                            const CancelAttempt &Action) {
  SimNode &Receiver = *this->Context.Nodes.at(Action.Upstream.Name);
  const RequestKey Key = Call->Keys.at(Action.Attempt);
  this->sendTo(Receiver,
               [&Receiver, Key, StopIfRunning = Action.StopIfRunning] {
                 Receiver.onCancel(Key, StopIfRunning);
               });
}

void SimNode::onRequest(const RequestKey &Key, InboundRequest Request) {
  if (this->Down) {
    SimNode &Origin = *Request.Origin;
    this->sendTo(Origin, [&Origin, Call = Request.Call,
                          Attempt = Request.Attempt] {
      Origin.executeActions(Call, Call->Outbound->onNotSent(
                                      Attempt, Origin.Context.Events.now()));
    });
    return;
  }
  const TimePoint Now = this->Context.Events.now();
  const KindModel &Kind = *Request.Call->Kind;
  const AdmissionRequest NewRequest{.Key = Key,
                                    .Route = RouteName(Kind.Name),
                                    .Priority = Kind.Priority,
                                    .SoftDeadline = Request.Call->SoftDeadline,
                                    .Deadline = Request.Deadline,
                                    .LatencyObjective = Kind.LatencyObjective};
  this->InboundRequests[Key] = std::move(Request);
  const AdmissionResult Result = this->AdmissionControl->admit(NewRequest, Now);
  if (Result.Decision == AdmissionDecision::Start)
    this->startRun(Key);
  else if (Result.Decision == AdmissionDecision::Refuse)
    this->reply(Key,
                {.Result = Outcome::NotRun, .RetryAfter = Result.RetryAfter},
                false, Duration::zero());
}

void SimNode::onCancel(const RequestKey &Key, bool StopIfRunning) {
  const CancelState State =
      this->AdmissionControl->cancel(Key, this->Context.Events.now());
  const auto Found = this->InboundRequests.find(Key);
  if (Found == this->InboundRequests.end())
    return;
  if (State == CancelState::Running && StopIfRunning) {
    this->Target.cancel(Found->second.Run);
    this->AdmissionControl->onFinished(Key, this->Context.Events.now());
  }
  this->InboundRequests.erase(Found);
  this->pollQueue();
}

void SimNode::startRun(const RequestKey &Key) {
  const auto Found = this->InboundRequests.find(Key);
  if (Found == this->InboundRequests.end())
    return;
  InboundRequest &Request = Found->second;
  const KindModel &Kind = *Request.Call->Kind;
  const KindModel *CalledKind = nullptr;
  for (const KindModel &Candidate : this->Context.Model.Kinds)
    if (!Kind.CalledKind.empty() && Candidate.Name == Kind.CalledKind)
      CalledKind = &Candidate;
  Request.RunStart = this->Context.Events.now();
  Request.Run = this->Target.run(
      Kind, CalledKind, Request.Deadline,
      [this, Key, RunIncarnation = this->Incarnation](bool Succeeded) {
        this->processMessage([this, Key, RunIncarnation, Succeeded] {
          if (RunIncarnation != this->Incarnation ||
              !this->InboundRequests.contains(Key))
            return;
          const TimePoint Now = this->Context.Events.now();
          this->AdmissionControl->onFinished(Key, Now);
          this->reply(Key,
                      {.Result = Outcome::Answered,
                       .Status = Succeeded ? StatusOk : StatusError,
                       .ReachedTarget = true},
                      Succeeded, Now - this->InboundRequests.at(Key).RunStart);
          this->pollQueue();
        });
      });
}

LoadReport SimNode::loadReport() const {
  const TimePoint Now = this->Context.Events.now();
  return {.SlotsUsed = static_cast<uint16_t>(this->AdmissionControl->running()),
          .Slots = static_cast<uint16_t>(this->ListedVm.Slots),
          .Queued = static_cast<uint16_t>(this->AdmissionControl->queued()),
          .ExpectedWaitMicros = this->AdmissionControl->reportedWaits(Now),
          .State = MemberState::Serving};
}

void SimNode::reply(const RequestKey &Key, const AttemptReply &Reply,
                    bool Succeeded, Duration ServiceTime) {
  const auto Found = this->InboundRequests.find(Key);
  if (Found == this->InboundRequests.end())
    return;
  const InboundRequest Request = std::move(Found->second);
  this->InboundRequests.erase(Found);
  SimNode &Origin = *Request.Origin;
  std::optional<Duration> MeanServiceTime;
  if (this->Context.Variant.ReportsMeanServiceTime)
    MeanServiceTime = this->AdmissionControl->meanServiceTime(
        RouteName(Request.Call->Kind->Name));
  this->sendTo(Origin, [this, &Origin, Request, Reply, Succeeded, ServiceTime,
                        MeanServiceTime, Load = this->loadReport()] {
    const TimePoint Now = this->Context.Events.now();
    const KindModel &Kind = *Request.Call->Kind;
    Origin.UpstreamRouter->onLoad(this->ListedVm.Name, Load, Now);
    if (Reply.Result == Outcome::Answered)
      Origin.UpstreamRouter->onRequestFinished(
          this->ListedVm.id(), {.Route = RouteName(Kind.Name),
                                .LatencyObjective = Kind.LatencyObjective,
                                .ServiceTime = ServiceTime,
                                .MeanServiceTime = MeanServiceTime,
                                .ResponseBytes = Kind.ResponseBytes});
    Request.Call->TargetSucceeded = Succeeded;
    Origin.executeActions(Request.Call, Request.Call->Outbound->onReply(
                                            Request.Attempt, Reply, Now));
  });
}

void SimNode::pollQueue() {
  const TimePoint Now = this->Context.Events.now();
  for (const Dequeued &Entry : this->AdmissionControl->poll(Now)) {
    if (Entry.Start)
      this->startRun(Entry.Key);
    else
      this->reply(Entry.Key,
                  {.Result = Outcome::NotRun, .RetryAfter = Entry.RetryAfter},
                  false, Duration::zero());
  }
}

void SimNode::pollPeriodically() {
  this->pollQueue();
  const TimePoint Now = this->Context.Events.now();
  for (const RequestKey &Key : this->AdmissionControl->detectOverdue(Now)) {
    const auto Found = this->InboundRequests.find(Key);
    if (Found == this->InboundRequests.end())
      continue;
    const InboundRequest &Overdue = Found->second;
    SimNode &Origin = *Overdue.Origin;
    this->sendTo(Origin, [&Origin, Call = Overdue.Call,
                          Attempt = Overdue.Attempt] {
      Origin.executeActions(Call, Call->Outbound->onOverdue(
                                      Attempt, Origin.Context.Events.now()));
    });
  }
  this->Context.Events.scheduleAfter(PollPeriod,
                                     [this] { this->pollPeriodically(); });
}

} // namespace bluebellbarrow
