#include "controltransport.h"
#include "disseminator.h"
#include "kernel/hashing.h"
#include "kernel/pausedetector.h"
#include "plugins/metrics/metrics.h"
#include "plugins/nodeplugin.h"
#include "plugins/platform/platformsource.h"
#include "readcost.h"
#include "versioncompiler.h"

#include <algorithm>
#include <random>

namespace bluebellbarrow {

namespace {

constexpr Duration StatusPeriod = seconds(1);

/** Gap between two ticks from which the process counts as paused. */
constexpr Duration PauseThreshold = milliseconds(1000);

constexpr unsigned MaxSockets = 2048;

/** Runs a Disseminator on its own task, and carries out its actions. */
class ControlPlanePlugin : public NodePlugin {
public:
  explicit ControlPlanePlugin(NodeContext &Context)
      : Context(Context), Owner(Context.Tasks.taskFor(
                              {.Name = "control", .MaxSockets = MaxSockets})),
        Transport(Owner, Context.Settings.BindIp, Context.Settings.ControlPort,
                  computeMeshId(Context.Settings.Mesh),
                  this->transportEvents()),
        Platform(makePlatformSource(Context.Settings, Owner)),
        Compiler(makeSnapshotDefaults(Context.Settings.Overrides)),
        Dissemination(
            this->disseminatorOptions(),
            [this](ResourceKind Kind, const FullVersion &Version) {
              return this->Compiler.validate(Kind, Version);
            },
            [this](const FullVersion &Config) {
              return this->Compiler.spreadPolicy(Config,
                                                 this->Context.Settings.Domain);
            },
            Task::now()),
        Pauses(PauseThreshold), Tick(Owner, [this] { this->onTick(); }) {}

  Result<std::monostate> prepare() override {
    const NodeSettings &Settings = this->Context.Settings;
    if (!this->Transport.isListening())
      return makeError(Errc::Unreachable, "listen on the control port",
                       Settings.Ip.str() + ":" +
                           std::to_string(Settings.ControlPort),
                       "can't bind the port for TCP and UDP");
    this->Context.Bus.LocalState.subscribe(
        this->Owner, [this](const LocalStateMessage &Message) {
          this->Dissemination.setLocalState(Message.State, Task::now());
          this->executeAndReschedule();
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
  static std::unique_ptr<PlatformSource>
  makePlatformSource(const NodeSettings &Settings, Task &Owner) {
    return PlatformSourceRegistry::instance().create(
        Settings.PlatformProtocol, {.Owner = Owner,
                                    .LocalIp = Settings.BindIp,
                                    .Platform = Settings.PlatformEndpoint,
                                    .Mesh = Settings.Mesh});
  }

  DisseminatorOptions disseminatorOptions() const {
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

  ControlEvents transportEvents() {
    return {.MessageReceived =
                [this](const Address &From, const ControlMessage &Message) {
                  this->Dissemination.onMessage(From, Message, Task::now());
                  this->executeAndReschedule();
                },
            .DigestReceived =
                [this](const Address &From, const DigestMessage &Message) {
                  this->Dissemination.onDigest(From, Message, Task::now());
                  this->executeAndReschedule();
                },
            .SendFailed =
                [this](const Address &To) {
                  this->Dissemination.onSendFailed(To, Task::now());
                  this->executeAndReschedule();
                },
            .BytesTransferred =
                [this](bool Sent, const char *MessageName, size_t Bytes) {
                  this->Context.NodeMetrics.add(
                      Sent ? Metric::ControlBytesSent
                           : Metric::ControlBytesReceived,
                      MessageName, static_cast<double>(Bytes));
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
      this->Dissemination.onPaused(*Pause, Now);
    }
    this->Dissemination.onTick(Now);
    this->logReaderTransition(Now);
    this->executeActions();
    if (Now >= this->NextStatus) {
      this->publishStatus();
      this->Transport.closeIdle(Now);
    }
    this->rescheduleTick();
  }

  /** Starts the timer for the next tick, unless an earlier one is scheduled. */
  void rescheduleTick() {
    const TimePoint Now = Task::now();
    const TimePoint Due = this->Dissemination.nextTick(Now);
    if (this->NextTick > Now && this->NextTick <= Due)
      return;
    this->NextTick = Due;
    this->Tick.start(Due - Now);
  }

  /** Executes the actions that an event led to. */
  void executeAndReschedule() {
    this->executeActions();
    this->rescheduleTick();
  }

  void executeActions() {
    for (DisseminatorActions Actions = this->Dissemination.drainActions();
         !Actions.empty(); Actions = this->Dissemination.drainActions())
      for (const DisseminatorAction &Next : Actions)
        std::visit([this](const auto &Action) { this->execute(Action); }, Next);
  }

  void execute(const SendDigest &Action) {
    this->Transport.sendDigest(Action.To, Action.Message);
  }

  void execute(const SendControl &Action) {
    this->Transport.send(Action.To, Action.Message, Task::now());
  }

  void execute(const ResetStalledStream &Action) {
    this->Transport.resetIfStalled(Action.To);
  }

  void execute(const ReadPlatform &Action) {
    this->Platform->read(Action,
                         [this, Kind = Action.Kind](const ReadResult &Result) {
                           this->onRead(Kind, Result);
                         });
  }

  void execute(const ReadBlob &Action) {
    this->Platform->readBlob(
        Action.Hash, [this, Hash = Action.Hash](const ReadResult &Result) {
          this->countRead(Result);
          const bool Found = Result.Status == ReadStatus::Found;
          this->Dissemination.onBlob(Hash, Found ? &Result.Text : nullptr,
                                     Task::now());
          this->executeAndReschedule();
        });
  }

  void execute(const CurrentVersionChanged &Action) {
    if (Action.Kind == ResourceKind::Config)
      this->AppliedAt = std::chrono::system_clock::now();
    this->updateEvacuations();
    this->publishSnapshot();
    this->publishStatus();
  }

  void updateEvacuations() {
    const std::vector<FailureDomain> &Domains =
        this->Dissemination.evacuatedDomains();
    std::erase_if(this->EvacuatedSince, [&Domains](const auto &Known) {
      return !std::binary_search(Domains.begin(), Domains.end(), Known.first);
    });
    for (const FailureDomain &Domain : Domains)
      this->EvacuatedSince.try_emplace(Domain,
                                       std::chrono::system_clock::now());
    this->Context.NodeMetrics.set(Metric::EvacuatedDomains, "",
                                  static_cast<double>(Domains.size()));
  }

  void publishSnapshot() {
    const FullVersionPtr Config =
        this->Dissemination.store(ResourceKind::Config).current();
    const FullVersionPtr List =
        this->Dissemination.store(ResourceKind::VmList).current();
    if (Config != nullptr && List != nullptr)
      this->Context.Bus.Snapshots.publish(
          {this->Compiler.compile(*Config, this->Dissemination.listInUse(),
                                  List->Id, this->Context.Settings.Domain)});
  }

  void execute(const MemberChanged &Action) {
    this->Context.Bus.Announcements.publish(Action.Announcement);
  }

  void execute(const AuditEvent &Event) {
    this->Context.Bus.Audit.publish(Event);
    if (Event.Kind == AuditKind::Conflict)
      this->Context.NodeMetrics.add(Metric::VersionConflicts, "");
    const bool IsProblem = Event.Kind == AuditKind::Refused ||
                           Event.Kind == AuditKind::Conflict ||
                           Event.Kind == AuditKind::VmsSkipped ||
                           Event.Kind == AuditKind::DigestMismatch;
    logMessage(IsProblem ? LogLevel::Warning : LogLevel::Info,
               {.Step = std::string(resourceKindName(Event.Resource)) + " " +
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

  /** Logs when reads of this node begin to fail, and when they recover. */
  void logReadTransition(ResourceKind Kind, const ReadResult &Result) {
    const bool Failed = Result.Status == ReadStatus::Failed;
    if (Failed == this->LoggedFailure)
      return;
    this->LoggedFailure = Failed;
    logEvent(LogLevel::Warning,
             Failed ? "platform read failed" : "platform reads work again",
             {{"item", resourceKindName(Kind)}, {"cause", Result.Cause}});
  }

  void onRead(ResourceKind Kind, const ReadResult &Result) {
    this->countRead(Result);
    this->logReadTransition(Kind, Result);
    const TimePoint Now = Task::now();
    if (Result.Status == ReadStatus::Found)
      this->Dissemination.onPlatformValue(Kind, Result.Revision, Result.Text,
                                          Now);
    else if (Result.Status == ReadStatus::Failed)
      this->Dissemination.onPlatformFailed(Kind, Now);
    else
      this->Dissemination.onPlatformUnchanged(Kind, Now);
    this->executeAndReschedule();
  }

  /** Logs when the platform goes down for all nodes, and when it recovers. */
  void logPlatformTransition(std::optional<Duration> Age, TimePoint Now) {
    const bool IsDown = this->Dissemination.readSchedule().isPlatformDown(Now);
    if (!Age || IsDown == this->LoggedDown)
      return;
    this->LoggedDown = IsDown;
    logEvent(LogLevel::Warning,
             IsDown ? "platform is away" : "platform is back",
             {{"good_read_age_ms", toMilliseconds(*Age)}});
  }

  /** Logs when this node becomes a reader, and when it ceases to be one. */
  void logReaderTransition(TimePoint Now) {
    const ReadSchedule &Schedule = this->Dissemination.readSchedule();
    if (Schedule.isReading() == this->LoggedReader)
      return;
    this->LoggedReader = Schedule.isReading();
    logEvent(
        LogLevel::Info,
        this->LoggedReader ? "platform reads begin" : "platform reads end",
        {{"place", Schedule.position()},
         {"nodes", this->Dissemination.topology().size()},
         {"good_read_age_ms",
          toMilliseconds(Schedule.lastSuccessAge(Now).value_or(-seconds(1)))}});
  }

  void publishStatus() {
    const TimePoint Now = Task::now();
    this->NextStatus = Now + StatusPeriod;
    const VersionTracker &Config =
        this->Dissemination.versionTracker(ResourceKind::Config);
    const VersionTracker &List =
        this->Dissemination.versionTracker(ResourceKind::VmList);
    ControlStatus Status{
        .ConfigVersion = Config.current(),
        .VmListVersion = List.current(),
        .AppliedAt = this->AppliedAt,
        .PlatformAge = this->Dissemination.readSchedule().lastSuccessAge(Now),
        .RefusedVersions = Config.refused(),
        .EvacuatedSince = this->EvacuatedSince,
        .State = this->Dissemination.membership().local().State,
        .Bootstrapped = this->Dissemination.isBootstrapped(),
        .DomainRank = this->Dissemination.topology().localRank(),
        .NodeCount = this->Dissemination.topology().size()};
    this->logPlatformTransition(Status.PlatformAge, Now);
    const std::chrono::duration<double> Age =
        Status.PlatformAge.value_or(-seconds(1));
    Metrics &Counters = this->Context.NodeMetrics;
    Counters.set(Metric::PlatformAge, "", Age.count());
    Counters.set(Metric::VersionNumber, "config",
                 static_cast<double>(Status.ConfigVersion.Number.value()));
    Counters.set(Metric::VersionNumber, "vm-list",
                 static_cast<double>(Status.VmListVersion.Number.value()));
    const std::chrono::duration<double> AppliedAt =
        Status.AppliedAt.time_since_epoch();
    Counters.set(Metric::VersionAppliedAt, "config", AppliedAt.count());
    this->Context.Bus.Status.publish(Status);
  }

  NodeContext &Context;
  Task &Owner;
  ControlTransport Transport;
  std::unique_ptr<PlatformSource> Platform;
  VersionCompiler Compiler;
  Disseminator Dissemination;
  PauseDetector Pauses;
  Timer Tick;
  TimePoint NextTick;
  TimePoint NextStatus;

  /** States that were logged last. */
  bool LoggedDown = false;
  bool LoggedFailure = false;
  bool LoggedReader = false;

  std::chrono::system_clock::time_point AppliedAt;

  /** Evacuated domains, and when this node learned of it. */
  std::map<FailureDomain, std::chrono::system_clock::time_point> EvacuatedSince;
};

const NodePluginRegistry::Registration<ControlPlanePlugin>
    Registered("control");

} // namespace

} // namespace bluebellbarrow
