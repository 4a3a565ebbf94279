#include "controltransport.h"
#include "disseminator.h"
#include "kernel/hashing.h"
#include "kernel/pausedetector.h"
#include "plugins/metrics/metrics.h"
#include "plugins/nodeplugin.h"
#include "plugins/platform/platformsource.h"
#include "readcost.h"
#include "versioncompiler.h"

#include <random>

namespace bluebellbarrow {

namespace {

constexpr Duration StatusPeriod = seconds(1);

/** Longest time between two ticks that is not taken for a pause. */
constexpr Duration PauseLimit = milliseconds(1000);

constexpr unsigned MaxSockets = 2048;

/** The task that brings versions to this node and hands them on. */
class ControlPlugin : public NodePlugin {
public:
  explicit ControlPlugin(NodeContext &Context)
      : Context(Context), Owner(Context.Tasks.getOrCreate(
                              {.Name = "control", .MaxSockets = MaxSockets})),
        Links(Owner, Context.Settings.BindIp, Context.Settings.ControlPort,
              computeMeshId(Context.Settings.Mesh), this->linkEvents()),
        Platform(sourceOf(Context.Settings, Owner)),
        Compiler(makeSnapshotDefaults(Context.Settings.Overrides)),
        Decisions(
            this->spreadOptions(),
            [this](ResourceKind Kind, const FullVersion &Version) {
              return this->Compiler.validate(Kind, Version);
            },
            [this](const FullVersion &Config) {
              return this->Compiler.spreadPolicy(Config,
                                                 this->Context.Settings.Domain);
            },
            Task::now()),
        Pauses(PauseLimit), Tick(Owner, [this] { this->onTick(); }) {}

  Result<std::monostate> prepare() override {
    const NodeSettings &Settings = this->Context.Settings;
    if (!this->Links.listening())
      return makeError(Errc::Unreachable, "listen for control",
                       Settings.Ip.str() + ":" +
                           std::to_string(Settings.ControlPort),
                       "the port can't be bound");
    this->Context.Bus.LocalState.subscribe(
        this->Owner, [this](const LocalStateMessage &Message) {
          this->Decisions.setLocalState(Message.State, Task::now());
          this->carryOut();
          this->publishStatus();
        });
    this->Context.Bus.Settings.subscribe(
        this->Owner, [this](const SettingsMessage &Message) {
          this->Compiler.setDefaults(
              makeSnapshotDefaults(Message.Current->Overrides));
          this->publishSnapshot();
        });
    this->Owner.post([this] { this->onTick(); });
    return std::monostate();
  }

private:
  static std::unique_ptr<PlatformSource> sourceOf(const NodeSettings &Settings,
                                                  Task &Owner) {
    return PlatformSourceRegistry::instance().create(
        Settings.PlatformProtocol, {.Owner = Owner,
                                    .LocalIp = Settings.BindIp,
                                    .Platform = Settings.PlatformEndpoint,
                                    .Mesh = Settings.Mesh});
  }

  DisseminatorOptions spreadOptions() const {
    const NodeSettings &Settings = this->Context.Settings;
    std::random_device Entropy;
    return {.Mesh = Settings.Mesh,
            .Self = Settings.Name,
            .Domain = Settings.Domain,
            .Incarnation = this->Context.Incarnation,
            .Ip = Settings.Ip,
            .Seeds = Settings.Seeds,
            .PeerSilenceTimeout = Settings.PeerSilenceTimeout,
            .Seed = (static_cast<uint64_t>(Entropy()) << 32U) | Entropy(),
            .MonotonicPlatform = this->Platform->hasMonotonicReads(),
            .IsSlowReader = isSlowReader(Settings.Resources),
            .InitialPolicy = makeSnapshotDefaults(Settings.Overrides).Spread};
  }

  ControlEvents linkEvents() {
    return {.MessageReceived =
                [this](const Address &From, const ControlMessage &Message) {
                  this->Decisions.onMessage(From, Message, Task::now());
                  this->carryOut();
                },
            .DigestReceived =
                [this](const Address &From, const DigestMessage &Message) {
                  this->Decisions.onDigest(From, Message, Task::now());
                  this->carryOut();
                },
            .SendFailed =
                [this](const Address &To) {
                  this->Decisions.onSendFailed(To, Task::now());
                  this->carryOut();
                },
            .BytesTransferred =
                [this](bool Sent, const char *Cause, size_t Bytes) {
                  this->Context.NodeMetrics.add(
                      Sent ? Metric::ControlBytesSent
                           : Metric::ControlBytesReceived,
                      Cause, static_cast<double>(Bytes));
                },
            .Malformed =
                [this](const Error &Failure) {
                  logError(LogLevel::Warning, Failure);
                  this->Context.NodeMetrics.add(Metric::Malformed, "control");
                }};
  }

  void onTick() {
    const TimePoint Now = Task::now();
    this->NextTick = Now;
    if (const std::optional<Duration> Pause = this->Pauses.onTick(Now)) {
      this->Context.NodeMetrics.add(Metric::Pauses, "control");
      this->Decisions.onPaused(*Pause, Now);
    }
    this->Decisions.onTick(Now);
    this->reportReader(Now);
    this->carryOutActions();
    if (Now >= this->NextStatus) {
      this->publishStatus();
      this->Links.closeIdle(Now);
    }
    this->hastenTick();
  }

  /** Brings the next tick forward to when it is due. */
  void hastenTick() {
    const TimePoint Now = Task::now();
    const TimePoint Due = this->Decisions.nextTick(Now);
    if (this->NextTick > Now && this->NextTick <= Due)
      return;
    this->NextTick = Due;
    this->Tick.start(Due - Now);
  }

  /** Does what an event led to. */
  void carryOut() {
    this->carryOutActions();
    this->hastenTick();
  }

  void carryOutActions() {
    for (DisseminatorActions Actions = this->Decisions.drainActions();
         !Actions.empty(); Actions = this->Decisions.drainActions())
      for (const DisseminatorAction &Each : Actions)
        std::visit([this](const auto &Action) { this->act(Action); }, Each);
  }

  void act(const SendDigest &Action) {
    this->Links.sendDigest(Action.To, Action.Message);
  }

  void act(const SendControl &Action) {
    this->Links.send(Action.To, Action.Message, Task::now());
  }

  void act(const ResetStalledStream &Action) {
    this->Links.resetIfStalled(Action.To);
  }

  void act(const ReadPlatform &Action) {
    this->Platform->read(Action,
                         [this, Kind = Action.Kind](const ReadResult &Result) {
                           this->onRead(Kind, Result);
                         });
  }

  void act(const ReadBlob &Action) {
    this->Platform->readBlob(Action.Hash, [this, Hash = Action.Hash](
                                              const ReadResult &Result) {
      this->countRead(Result);
      const bool Found = Result.Status == ReadStatus::Found;
      this->Decisions.onBlob(Hash, Found ? &Result.Text : nullptr, Task::now());
      this->carryOut();
    });
  }

  void act(const CurrentVersionChanged &Action) {
    if (Action.Kind == ResourceKind::Config)
      this->AppliedAt = std::chrono::system_clock::now();
    this->publishSnapshot();
    this->publishStatus();
  }

  void publishSnapshot() {
    const FullVersionPtr Config =
        this->Decisions.store(ResourceKind::Config).current();
    const FullVersionPtr List =
        this->Decisions.store(ResourceKind::VmList).current();
    if (Config != nullptr && List != nullptr)
      this->Context.Bus.Snapshots.publish(
          {this->Compiler.compile(*Config, this->Decisions.vmsInUse(), List->Id,
                                  this->Context.Settings.Domain)});
  }

  void act(const MemberChanged &Action) {
    this->Context.Bus.Announcements.publish(Action.Announcement);
  }

  void act(const AuditEvent &Event) {
    this->Context.Bus.Audit.publish(Event);
    if (Event.Kind == AuditKind::Conflict)
      this->Context.NodeMetrics.add(Metric::VersionConflicts, "");
    const bool Bad = Event.Kind == AuditKind::Refused ||
                     Event.Kind == AuditKind::Conflict ||
                     Event.Kind == AuditKind::DigestMismatch;
    logMessage(Bad ? LogLevel::Warning : LogLevel::Info,
               {.Step = std::string(resourceKindName(Event.Item)) + " " +
                        auditKindName(Event.Kind),
                .Peer = Event.Source,
                .Version = Event.Version.text()},
               Event.Detail);
  }

  void countRead(const ReadResult &Result) {
    static constexpr std::array<const char *, 4> Names = {"value", "unchanged",
                                                          "missing", "failed"};
    this->Context.NodeMetrics.add(Metric::PlatformReads,
                                  Names.at(static_cast<size_t>(Result.Status)));
    this->Context.NodeMetrics.add(Metric::ControlBytesReceived, "platform",
                                  static_cast<double>(Result.Text.size()));
  }

  /** Logs when this node's own reads begin to fail, and when they work. */
  void reportReads(ResourceKind Kind, const ReadResult &Result) {
    const bool Failed = Result.Status == ReadStatus::Failed;
    if (Failed == this->ReadsFail)
      return;
    this->ReadsFail = Failed;
    logEvent(LogLevel::Warning,
             Failed ? "platform read failed" : "platform reads work again",
             {{"item", resourceKindName(Kind)}, {"cause", Result.Cause}});
  }

  void onRead(ResourceKind Kind, const ReadResult &Result) {
    this->countRead(Result);
    this->reportReads(Kind, Result);
    const TimePoint Now = Task::now();
    if (Result.Status == ReadStatus::Found)
      this->Decisions.onPlatformValue(Kind, Result.Revision, Result.Text, Now);
    else if (Result.Status == ReadStatus::Failed)
      this->Decisions.onPlatformFailed(Kind, Now);
    else
      this->Decisions.onPlatformUnchanged(Kind, Now);
    this->carryOut();
  }

  /** Logs when the platform was lost for the fleet, and when it is back. */
  void reportPlatform(std::optional<Duration> Age, TimePoint Now) {
    const bool Away = this->Decisions.readSchedule().isPlatformDown(Now);
    if (!Age || Away == this->PlatformAway)
      return;
    this->PlatformAway = Away;
    logEvent(LogLevel::Warning, Away ? "platform is away" : "platform is back",
             {{"good_read_age_ms", toMilliseconds(*Age)}});
  }

  /** Logs when this node begins or ceases to be one that reads. */
  void reportReader(TimePoint Now) {
    const ReadSchedule &Schedule = this->Decisions.readSchedule();
    if (Schedule.isReading() == this->IsReader)
      return;
    this->IsReader = Schedule.isReading();
    logEvent(
        LogLevel::Info,
        this->IsReader ? "platform reads begin" : "platform reads end",
        {{"place", Schedule.position()},
         {"nodes", this->Decisions.topology().size()},
         {"good_read_age_ms",
          toMilliseconds(Schedule.lastSuccessAge(Now).value_or(-seconds(1)))}});
  }

  void publishStatus() {
    const TimePoint Now = Task::now();
    this->NextStatus = Now + StatusPeriod;
    const VersionTracker &Config =
        this->Decisions.versionTracker(ResourceKind::Config);
    const VersionTracker &List =
        this->Decisions.versionTracker(ResourceKind::VmList);
    ControlStatus Status{.ConfigVersion = Config.current(),
                         .VmListVersion = List.current(),
                         .AppliedAt = this->AppliedAt,
                         .PlatformAge =
                             this->Decisions.readSchedule().lastSuccessAge(Now),
                         .RefusedVersions = Config.refused(),
                         .State = this->Decisions.membership().local().State,
                         .Settled = this->Decisions.isBootstrapped(),
                         .TopologyRank = this->Decisions.topology().localRank(),
                         .NodeCount = this->Decisions.topology().size()};
    this->reportPlatform(Status.PlatformAge, Now);
    const std::chrono::duration<double> Age =
        Status.PlatformAge.value_or(-seconds(1));
    Metrics &Counters = this->Context.NodeMetrics;
    Counters.set(Metric::PlatformAge, "", Age.count());
    Counters.set(Metric::VersionNumber, "config",
                 static_cast<double>(Status.ConfigVersion.Number.value()));
    Counters.set(Metric::VersionNumber, "vm-list",
                 static_cast<double>(Status.VmListVersion.Number.value()));
    const std::chrono::duration<double> Since =
        Status.AppliedAt.time_since_epoch();
    Counters.set(Metric::VersionAppliedAt, "config", Since.count());
    this->Context.Bus.Status.publish(Status);
  }

  NodeContext &Context;
  Task &Owner;
  ControlTransport Links;
  std::unique_ptr<PlatformSource> Platform;
  VersionCompiler Compiler;
  Disseminator Decisions;
  PauseDetector Pauses;
  Timer Tick;
  TimePoint NextTick;
  TimePoint NextStatus;

  /** What the log said last of the platform. */
  bool PlatformAway = false;
  bool ReadsFail = false;
  bool IsReader = false;

  std::chrono::system_clock::time_point AppliedAt;
};

const NodePluginRegistry::Registration<ControlPlugin> Registered("control");

} // namespace

} // namespace bluebellbarrow
