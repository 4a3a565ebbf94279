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

/** Time between two looks at deadlines while requests are open. */
constexpr Duration BusyTickPeriod = milliseconds(25);

constexpr Duration IdleTickPeriod = milliseconds(200);
constexpr Duration PauseLimit = milliseconds(500);

/** Time after a pause in which cancellations are read before work starts. */
constexpr Duration WakeHold = milliseconds(50);

constexpr unsigned MaxSockets = 4096;

/** The task that carries calls: callers, peers and the target. */
class DataPlugin : public NodePlugin {
public:
  explicit DataPlugin(NodeContext &Context)
      : Context(Context), Owner(Context.Tasks.getOrCreate(
                              {.Name = "data", .MaxSockets = MaxSockets})),
        Dialect(dialectOf(Context.Settings)),
        Self{.Mesh = computeMeshId(Context.Settings.Mesh),
             .Name = Context.Settings.Name,
             .Incarnation = Context.Incarnation},
        Target(Owner, Context.Settings, *Dialect, Context.NodeMetrics,
               [this] { this->hastenTick(); }),
        Origin(Owner, Context.Settings, *Dialect, Self, Target,
               Context.NodeMetrics),
        Peers(Owner, Context.Settings.BindIp, Context.Settings.PeerPort, Self,
              this->peerEvents()),
        Probe(Owner, Context.Settings,
              [this](MemberState State) { this->onTargetState(State); }),
        Pauses(PauseLimit), Tick(Owner, [this] { this->onTick(); }),
        Service(Context.Settings.Service) {}

  Result<std::monostate> prepare() override {
    const NodeSettings &Settings = this->Context.Settings;
    if (!this->Origin.listening() || !this->Peers.listening())
      return makeError(Errc::Unreachable, "listen for calls",
                       Settings.BindIp.str(), "a port can't be bound");
    NodeBus &Bus = this->Context.Bus;
    Bus.Snapshots.subscribe(this->Owner,
                            [this](const SnapshotMessage &Message) {
                              this->onSnapshot(Message.Current);
                            });
    Bus.Announcements.subscribe(this->Owner,
                                [this](const MemberAnnouncement &Announced) {
                                  this->Origin.onAnnouncement(Announced);
                                });
    Bus.Stop.subscribe(this->Owner,
                       [this](const StopMessage &) { this->onStop(); });
    Bus.Settings.subscribe(this->Owner, [this](const SettingsMessage &Message) {
      this->onSettings(*Message.Current);
    });
    this->Owner.post([this] { this->onTick(); });
    return std::monostate();
  }

private:
  PeerServerEvents peerEvents() {
    return {.Request =
                [this](StreamId Stream, const RequestKey &Key,
                       const RequestMessage &Message) {
                  this->Target.handleRequest(Key, Message,
                                             this->sinkTo(Stream, Key.Number));
                },
            .Cancel =
                [this](StreamId Stream, const RequestKey &Key,
                       const CancelMessage &Message) {
                  const CancelState State = this->Target.cancel(
                      Key, Message.Stop, this->sinkTo(Stream, Key.Number));
                  this->Peers.reply(
                      Stream,
                      CancelReplyMessage{.Number = Key.Number, .State = State});
                },
            .CurrentLoad = [this] { return this->Target.load(); },
            .Malformed =
                [this](const Error &Failure) {
                  logError(LogLevel::Warning, Failure);
                  this->Context.NodeMetrics.add(Metric::Malformed, "peers");
                }};
  }

  InboundCallEvents sinkTo(StreamId Stream, RequestNumber Number) {
    return {.Reply =
                [this, Stream](const ReplyMessage &Message) {
                  this->Peers.sendReply(Stream, Message);
                },
            .Overdue = [this, Stream,
                        Number] { this->Peers.sendOverdue(Stream, Number); }};
  }

  static std::unique_ptr<CallProtocol> dialectOf(const NodeSettings &Settings) {
    return CallProtocolRegistry::instance().create(Settings.PlatformProtocol);
  }

  void onSettings(const NodeSettings &New) {
    this->Service = New.Service;
    this->Target.setSettings(New);
    this->Origin.setSettings(New);
    if (this->Current != nullptr)
      this->onSnapshot(this->Current);
  }

  void onSnapshot(const std::shared_ptr<const Snapshot> &New) {
    this->Current = New;
    this->Origin.setSnapshot(New);
    this->Target.setSnapshot(New);
    const ServiceEntry *Own = New->findService(this->Service);
    if (Own != nullptr) {
      this->ListedLeaving = this->leavesOwn(*Own);
      if (!Own->EffectivePolicy.ProbePath.empty())
        this->Probe.setPath(Own->EffectivePolicy.ProbePath);
      this->Probe.setPeriod(Own->EffectivePolicy.ProbePeriod);
      if (Own->EffectivePolicy.ProbePeriod == Duration::zero())
        this->TargetState = MemberState::Serving;
    }
    this->updateState();
  }

  /** Returns whether the target beside this node leaves, or has left. */
  bool leavesOwn(const ServiceEntry &Own) const {
    const TargetInstanceId &Target = this->Target.listedTarget();
    for (const Vm &Each : Own.Upstreams)
      if (Each.Name == this->Self.Name && Each.Target == Target)
        return Each.Leaving;
    // Some targets leave by no longer being listed.
    return !Target.empty();
  }

  void onTargetState(MemberState State) {
    this->TargetState = State;
    this->updateState();
  }

  void updateState() {
    MemberState State = this->TargetState;
    const ShutdownPhase Phase = this->Stop.phase(Task::now());
    if (Phase == ShutdownPhase::Draining ||
        Phase == ShutdownPhase::Terminating || this->ListedLeaving)
      State = MemberState::Draining;
    else if (this->Current == nullptr)
      State = MemberState::Starting;
    if (State == this->Target.state())
      return;
    this->Target.setState(State);
    this->Context.Bus.LocalState.publish({State});
  }

  void onStop() {
    const NodeSettings &Settings = this->Context.Settings;
    this->Stop.begin({.LeaveGracePeriod = Settings.LeaveGracePeriod,
                      .Timeout = Settings.ShutdownTimeout},
                     Task::now());
    this->Origin.setCloseAfterResponse();
    this->Target.setCompletionCutoff(Task::now() + Settings.LeaveGracePeriod);
    logEvent(LogLevel::Info, "stop begins",
             {{"open_calls", this->Origin.openRequests()},
              {"open_runs", this->Target.openRequests()}});
  }

  void onTick() {
    const TimePoint Now = Task::now();
    if (this->Pauses.onTick(Now)) {
      this->Context.NodeMetrics.add(Metric::Pauses, "data");
      this->Target.holdUntil(Now + WakeHold);
    }
    this->Target.poll(Now);
    this->Origin.poll(Now);
    this->pollStop(Now);
    const bool Idle =
        this->Origin.openRequests() + this->Target.openRequests() == 0;
    const Duration Period =
        Idle && this->Stop.phase(Now) == ShutdownPhase::Running
            ? IdleTickPeriod
            : BusyTickPeriod;
    this->NextTick = Now + Period;
    this->Tick.start(Period);
  }

  /** Requests are open: the next look must not be an idle period away. */
  void hastenTick() {
    const TimePoint Soon = Task::now() + BusyTickPeriod;
    if (this->NextTick <= Soon)
      return;
    this->NextTick = Soon;
    this->Tick.start(BusyTickPeriod);
  }

  void pollStop(TimePoint Now) {
    const ShutdownPhase Phase = this->Stop.phase(Now);
    if (Phase == ShutdownPhase::Running || this->Stopped)
      return;
    if (Phase != ShutdownPhase::Leaving)
      this->Origin.setDraining();
    this->updateState();
    const size_t Open =
        this->Origin.openRequests() + this->Target.openRequests();
    if (Open > 0)
      this->LastOpen = Now;
    if (!this->Stop.mayExit(Open, this->LastOpen, Now))
      return;
    if (Open > 0)
      this->Origin.failOpenCalls("the node stops");
    this->Stopped = true;
    this->Context.Bus.Stopped.publish({.AbortedRequests = Open});
  }

  NodeContext &Context;
  Task &Owner;
  std::unique_ptr<CallProtocol> Dialect;
  PeerIdentity Self;
  InboundCalls Target;
  OutboundCalls Origin;
  PeerServer Peers;
  TargetProbe Probe;
  PauseDetector Pauses;
  Timer Tick;
  TimePoint NextTick;
  ServiceName Service;
  MemberState TargetState = MemberState::Starting;
  std::shared_ptr<const Snapshot> Current;

  /** The platform is about to take this VM away, or has unlisted it. */
  bool ListedLeaving = false;

  GracefulShutdown Stop;

  /** When requests were open last while the process stops. */
  TimePoint LastOpen;

  bool Stopped = false;
};

const NodePluginRegistry::Registration<DataPlugin> Registered("data");

} // namespace

} // namespace bluebellbarrow
