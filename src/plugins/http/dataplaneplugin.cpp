#include "gracefulshutdown.h"
#include "inboundcalls.h"
#include "kernel/hashing.h"
#include "kernel/log.h"
#include "kernel/pausedetector.h"
#include "outboundcalls.h"
#include "plugins/metrics/metrics.h"
#include "plugins/nodeplugin.h"
#include "plugins/peer/peerserver.h"
#include "targetprobe.h"

namespace bluebellbarrow {

namespace {

/** Time between two ticks while requests are open or during a shutdown. */
constexpr Duration BusyTickPeriod = milliseconds(25);

/** Time between two ticks at other times. */
constexpr Duration IdleTickPeriod = milliseconds(200);

/** Shortest time between two ticks that counts as a pause of the process. */
constexpr Duration PauseThreshold = milliseconds(500);

/**
 * Hold-down after a pause of the process: no request starts, so that
 * cancellations received during the pause are read first.
 */
constexpr Duration HoldDownTime = milliseconds(50);

constexpr unsigned MaxSockets = 4096;

constexpr double BytesPerMegabit = 1e6 / 8;

/** Handles connections of callers, peers and the target on the data task. */
class DataPlanePlugin : public NodePlugin {
public:
  explicit DataPlanePlugin(NodeContext &Context)
      : Context(Context), Owner(Context.Tasks.taskFor(
                              {.Name = "data", .MaxSockets = MaxSockets})),
        Protocol(createProtocol(Context.Settings)),
        Self{.Mesh = computeMeshId(Context.Settings.Mesh),
             .Name = Context.Settings.Name,
             .Incarnation = Context.Incarnation},
        Link(Owner, Context.Settings.Resources.LinkMbps * BytesPerMegabit),
        Budget(heldLimits(Context.Settings, defaultCallerLimits())),
        Inbound(Owner, Context.Settings, *Protocol, Link, Budget,
                Context.NodeMetrics, [this] { this->scheduleBusyTick(); }),
        Outbound(Owner, Context.Settings, *Protocol, Self, Inbound, Link,
                 Budget, Context.NodeMetrics),
        Server(Owner, Context.Settings.BindIp, Context.Settings.PeerPort, Self,
               this->peerServerEvents(), &Link, &Budget),
        Probe(Owner, Context.Settings,
              [this](MemberState State) { this->onTargetState(State); }),
        Pauses(PauseThreshold), TickTimer(Owner, [this] { this->onTick(); }),
        Service(Context.Settings.Service) {}

  Result<std::monostate> prepare() override {
    const NodeSettings &Settings = this->Context.Settings;
    if (!this->Outbound.isListening() || !this->Server.isListening())
      return makeError(
          Errc::Unreachable, "listen for calls", Settings.BindIp.str(),
          "can't bind the endpoint for callers or the port for peers");
    this->addHolders();
    NodeBus &Bus = this->Context.Bus;
    Bus.Snapshots.subscribe(this->Owner,
                            [this](const SnapshotMessage &Message) {
                              this->onSnapshot(Message.Current);
                            });
    Bus.Announcements.subscribe(this->Owner,
                                [this](const MemberAnnouncement &Announcement) {
                                  this->Outbound.onAnnouncement(Announcement);
                                });
    Bus.Shutdown.subscribe(this->Owner, [this](const ShutdownMessage &) {
      this->onShutdownRequested();
    });
    Bus.Settings.subscribe(this->Owner, [this](const SettingsMessage &Message) {
      this->onSettings(*Message.Current);
    });
    this->Owner.post([this] { this->onTick(); });
    return std::monostate();
  }

private:
  static ByteLimits heldLimits(const NodeSettings &Settings,
                               const CallerLimits &Limits) {
    return byteLimits(Settings.Resources.MemoryBytes,
                      static_cast<size_t>(Limits.MaxBufferedBytes));
  }

  /** Adds everything that holds bytes for others to the budget. */
  void addHolders() {
    this->Budget.addHolder({.Name = "callers", .Count = [this] {
                              return this->Outbound.heldBytes();
                            }});
    this->Budget.addHolder({.Name = "target", .Count = [this] {
                              return this->Inbound.heldBytes();
                            }});
    this->Budget.addHolder({.Name = "peers", .Count = [this] {
                              return this->Outbound.heldPeerBytes() +
                                     this->Server.heldBytes();
                            }});
  }

  PeerServerEvents peerServerEvents() {
    return {.Request =
                [this](StreamId Stream, const RequestKey &Key,
                       const RequestMessage &Message) {
                  this->Inbound.handleRequest(
                      Key, Message,
                      this->inboundCallEvents(Stream, Key.Number));
                },
            .Cancel =
                [this](StreamId Stream, const RequestKey &Key,
                       const CancelMessage &Message) {
                  const CancelState State = this->Inbound.cancel(
                      Key, Message.Stop,
                      this->inboundCallEvents(Stream, Key.Number));
                  this->Server.sendCancelReply(
                      Stream,
                      CancelReplyMessage{.Number = Key.Number, .State = State});
                },
            .CurrentLoad = [this] { return this->Inbound.load(); },
            .Malformed =
                [this](const Error &Failure) {
                  logError(LogLevel::Warning, Failure);
                  this->Context.NodeMetrics.add(Metric::Malformed, "peers");
                }};
  }

  InboundCallEvents inboundCallEvents(StreamId Stream, RequestNumber Number) {
    return {.Reply =
                [this, Stream](ReplyMessage Message) {
                  this->Server.sendReply(Stream, std::move(Message));
                },
            .Overdue = [this, Stream,
                        Number] { this->Server.sendOverdue(Stream, Number); }};
  }

  static std::unique_ptr<CallProtocol>
  createProtocol(const NodeSettings &Settings) {
    return CallProtocolRegistry::instance().create(Settings.PlatformProtocol);
  }

  void onSettings(const NodeSettings &New) {
    this->Service = New.Service;
    this->Inbound.setSettings(New);
    this->Outbound.setSettings(New);
    // The service name may have changed.
    if (this->CurrentSnapshot != nullptr)
      this->onSnapshot(this->CurrentSnapshot);
  }

  void onSnapshot(const std::shared_ptr<const Snapshot> &New) {
    this->CurrentSnapshot = New;
    this->Budget.setLimits(heldLimits(this->Context.Settings, New->Limits));
    this->Outbound.setSnapshot(New);
    this->Inbound.setSnapshot(New);
    const ServiceEntry *LocalService = New->findService(this->Service);
    if (LocalService != nullptr) {
      this->TargetLeaving = this->isLocalTargetLeaving(*LocalService);
      if (!LocalService->EffectivePolicy.ProbePath.empty())
        this->Probe.setPath(LocalService->EffectivePolicy.ProbePath);
      this->Probe.setPeriod(LocalService->EffectivePolicy.ProbePeriod);
      // Without probes the target counts as serving.
      if (LocalService->EffectivePolicy.ProbePeriod == Duration::zero())
        this->TargetState = MemberState::Serving;
    }
    this->updateLocalState();
  }

  /** Returns true if the local target is leaving or no longer listed. */
  bool isLocalTargetLeaving(const ServiceEntry &LocalService) const {
    const TargetInstanceId &ListedTarget = this->Inbound.listedTarget();
    for (const Vm &Upstream : LocalService.Upstreams)
      if (Upstream.Name == this->Self.Name && Upstream.Target == ListedTarget)
        return Upstream.Leaving;
    // Some platforms remove a leaving target from the list instead of marking
    // it.
    return !ListedTarget.empty();
  }

  void onTargetState(MemberState State) {
    this->TargetState = State;
    this->updateLocalState();
  }

  /** Computes the state of this node and publishes it when it has changed. */
  void updateLocalState() {
    MemberState State = this->TargetState;
    const ShutdownPhase Phase = this->Shutdown.phase(Task::now());
    if (Phase == ShutdownPhase::Draining ||
        Phase == ShutdownPhase::Terminating || this->TargetLeaving)
      State = MemberState::Draining;
    else if (this->CurrentSnapshot == nullptr)
      State = MemberState::Starting;
    if (State == this->Inbound.state())
      return;
    this->Inbound.setState(State);
    this->Context.Bus.LocalState.publish({State});
  }

  void onShutdownRequested() {
    const NodeSettings &Settings = this->Context.Settings;
    this->Shutdown.begin({.LeaveGracePeriod = Settings.LeaveGracePeriod,
                          .Timeout = Settings.ShutdownTimeout},
                         Task::now());
    this->Outbound.setCloseAfterResponse();
    this->Inbound.setCompletionCutoff(Task::now() + Settings.LeaveGracePeriod);
    logEvent(LogLevel::Info, "stop begins",
             {{"open_calls", this->Outbound.openRequests()},
              {"open_runs", this->Inbound.openRequests()}});
  }

  void onTick() {
    const TimePoint Now = Task::now();
    if (this->Pauses.onTick(Now)) {
      this->Context.NodeMetrics.add(Metric::Pauses, "data");
      this->Inbound.holdDownUntil(Now + HoldDownTime);
    }
    this->Inbound.poll(Now);
    this->Inbound.pollWarmth(Now);
    this->Outbound.poll(Now);
    this->pollShutdown(Now);
    const bool Idle =
        this->Outbound.openRequests() + this->Inbound.openRequests() == 0;
    const Duration Period =
        Idle && this->Shutdown.phase(Now) == ShutdownPhase::Running
            ? IdleTickPeriod
            : BusyTickPeriod;
    this->NextTick = Now + Period;
    this->TickTimer.start(Period);
  }

  /** Makes the next tick due within BusyTickPeriod. */
  void scheduleBusyTick() {
    const TimePoint NextBusyTick = Task::now() + BusyTickPeriod;
    if (this->NextTick <= NextBusyTick)
      return;
    this->NextTick = NextBusyTick;
    this->TickTimer.start(BusyTickPeriod);
  }

  void pollShutdown(TimePoint Now) {
    const ShutdownPhase Phase = this->Shutdown.phase(Now);
    if (Phase == ShutdownPhase::Running || this->ReadyToExit)
      return;
    if (Phase != ShutdownPhase::Leaving)
      this->Outbound.setDraining();
    this->updateLocalState();
    const size_t OpenRequests =
        this->Outbound.openRequests() + this->Inbound.openRequests();
    const size_t Unfinished = OpenRequests + this->Outbound.undeliveredCount();
    if (Unfinished > 0)
      this->LastOpenAt = Now;
    if (!this->Shutdown.mayExit(Unfinished, this->LastOpenAt, Now))
      return;
    // Requests may still be open when the process is about to be killed.
    if (OpenRequests > 0)
      this->Outbound.failOpenCalls("the node stops");
    logEvent(LogLevel::Info, "stop ends",
             {{"open_requests", OpenRequests},
              {"unread_connections", Unfinished - OpenRequests}});
    this->ReadyToExit = true;
    this->Context.Bus.ShutdownComplete.publish({.AbortedRequests = Unfinished});
  }

  NodeContext &Context;
  Task &Owner;
  std::unique_ptr<CallProtocol> Protocol;
  PeerIdentity Self;
  LinkScheduler Link;
  ByteBudget Budget;
  InboundCalls Inbound;
  OutboundCalls Outbound;
  PeerServer Server;
  TargetProbe Probe;
  PauseDetector Pauses;
  Timer TickTimer;
  TimePoint NextTick;
  ServiceName Service;

  /** State of the local target according to its probes. */
  MemberState TargetState = MemberState::Starting;
  std::shared_ptr<const Snapshot> CurrentSnapshot;

  /** The platform lists the local target as leaving, or no longer lists it. */
  bool TargetLeaving = false;

  GracefulShutdown Shutdown;

  /** Last tick of the shutdown at which a request was open. */
  TimePoint LastOpenAt;

  /** ShutdownComplete has been published. */
  bool ReadyToExit = false;
};

const NodePluginRegistry::Registration<DataPlanePlugin> Registered("data");

} // namespace

} // namespace bluebellbarrow
