#include "controllinks.h"
#include "kernel/hashing.h"
#include "kernel/pausedetector.h"
#include "plugins/metrics/metrics.h"
#include "plugins/nodeplugin.h"
#include "plugins/platform/platformsource.h"
#include "readcost.h"
#include "spread.h"
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
      : Context(Context),
        Owner(Context.Tasks.get({.Name = "control", .MaxSockets = MaxSockets})),
        Links(Owner, Context.Settings.BindIp, Context.Settings.ControlPort,
              meshIdOf(Context.Settings.Mesh), this->linkEvents()),
        Platform(sourceOf(Context.Settings, Owner)),
        Compiler(defaultsFrom(Context.Settings.Overrides)),
        Decisions(
            this->spreadOptions(),
            [this](ItemKind Kind, const WholeVersion &Version) {
              return this->Compiler.check(Kind, Version);
            },
            [this](const WholeVersion &Config) {
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
    this->Context.Bus.OwnState.subscribe(
        this->Owner, [this](const OwnStateMessage &Message) {
          this->Decisions.setOwnState(Message.State, Task::now());
          this->carryOut();
          this->publishStatus();
        });
    this->Context.Bus.Settings.subscribe(
        this->Owner, [this](const SettingsMessage &Message) {
          this->Compiler.setDefaults(defaultsFrom(Message.Current->Overrides));
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
                                    .Platform = Settings.Platform,
                                    .Mesh = Settings.Mesh});
  }

  SpreadOptions spreadOptions() const {
    const NodeSettings &Settings = this->Context.Settings;
    std::random_device Entropy;
    return {.Mesh = Settings.Mesh,
            .Self = Settings.Name,
            .Domain = Settings.Domain,
            .Life = this->Context.Life,
            .Ip = Settings.Ip,
            .Seeds = Settings.Seeds,
            .BootSilence = Settings.BootSilence,
            .Seed = (static_cast<uint64_t>(Entropy()) << 32U) | Entropy(),
            .ExactPlatform = this->Platform->isExact(),
            .ReadsSlowly = readsSlowly(Settings.Machine),
            .FirstPolicy = defaultsFrom(Settings.Overrides).Spread};
  }

  ControlEvents linkEvents() {
    return {.Message =
                [this](const Address &From, const ControlMessage &Message) {
                  this->Decisions.onMessage(From, Message, Task::now());
                  this->carryOut();
                },
            .Digest =
                [this](const Address &From, const DigestMessage &Message) {
                  this->Decisions.onDigest(From, Message, Task::now());
                  this->carryOut();
                },
            .Failed =
                [this](const Address &To) {
                  this->Decisions.onSendFailed(To, Task::now());
                  this->carryOut();
                },
            .Counted =
                [this](bool Sent, const char *Cause, size_t Bytes) {
                  this->Context.Counters.add(Sent ? Metric::ControlBytesOut
                                                  : Metric::ControlBytesIn,
                                             Cause, static_cast<double>(Bytes));
                },
            .Malformed =
                [this](const Error &Failure) {
                  logError(LogLevel::Warning, Failure);
                  this->Context.Counters.add(Metric::Malformed, "control");
                }};
  }

  void onTick() {
    const TimePoint Now = Task::now();
    this->NextTick = Now;
    if (const std::optional<Duration> Pause = this->Pauses.onTick(Now)) {
      this->Context.Counters.add(Metric::Pauses, "control");
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
    for (SpreadActions Actions = this->Decisions.takeActions();
         !Actions.empty(); Actions = this->Decisions.takeActions())
      for (const SpreadAction &Each : Actions)
        std::visit([this](const auto &Action) { this->act(Action); }, Each);
  }

  void act(const SendDigest &Action) {
    this->Links.sendDigest(Action.To, Action.Message);
  }

  void act(const SendControl &Action) {
    this->Links.send(Action.To, Action.Message, Task::now());
  }

  void act(const RenewLink &Action) { this->Links.renew(Action.To); }

  void act(const ReadPlatform &Action) {
    this->Platform->read(Action,
                         [this, Kind = Action.Kind](const ReadResult &Result) {
                           this->onRead(Kind, Result);
                         });
  }

  void act(const ReadPart &Action) {
    this->Platform->readPart(Action.Hash, [this, Hash = Action.Hash](
                                              const ReadResult &Result) {
      this->countRead(Result);
      const bool Found = Result.End == ReadEnd::Value;
      this->Decisions.onPart(Hash, Found ? &Result.Text : nullptr, Task::now());
      this->carryOut();
    });
  }

  void act(const VersionInForce &Action) {
    if (Action.Kind == ItemKind::Config)
      this->AppliedAt = std::chrono::system_clock::now();
    this->publishSnapshot();
    this->publishStatus();
  }

  void publishSnapshot() {
    const WholeVersionPtr Config =
        this->Decisions.store(ItemKind::Config).current();
    const WholeVersionPtr List =
        this->Decisions.store(ItemKind::VmList).current();
    if (Config != nullptr && List != nullptr)
      this->Context.Bus.Snapshots.publish(
          {this->Compiler.compile(*Config, this->Decisions.vmsInUse(), List->Id,
                                  this->Context.Settings.Domain)});
  }

  void act(const MemberChanged &Action) {
    this->Context.Bus.Announcements.publish(Action.Announced);
  }

  void act(const AuditEvent &Event) {
    this->Context.Bus.Audit.publish(Event);
    if (Event.Kind == AuditKind::Conflict)
      this->Context.Counters.add(Metric::Conflicts, "");
    const bool Bad = Event.Kind == AuditKind::Refused ||
                     Event.Kind == AuditKind::Conflict ||
                     Event.Kind == AuditKind::DigestMismatch;
    logRecord(Bad ? LogLevel::Warning : LogLevel::Info,
              {.Step = std::string(itemKindName(Event.Item)) + " " +
                       auditKindName(Event.Kind),
               .Peer = Event.From,
               .Version = Event.Version.text()},
              Event.Detail);
  }

  void countRead(const ReadResult &Result) {
    static constexpr std::array<const char *, 4> Names = {"value", "unchanged",
                                                          "missing", "failed"};
    this->Context.Counters.add(Metric::PlatformReads,
                               Names.at(static_cast<size_t>(Result.End)));
    this->Context.Counters.add(Metric::ControlBytesIn, "platform",
                               static_cast<double>(Result.Text.size()));
  }

  /** Logs when this node's own reads begin to fail, and when they work. */
  void reportReads(ItemKind Kind, const ReadResult &Result) {
    const bool Failed = Result.End == ReadEnd::Failed;
    if (Failed == this->ReadsFail)
      return;
    this->ReadsFail = Failed;
    logEvent(LogLevel::Warning,
             Failed ? "platform read failed" : "platform reads work again",
             {{"item", itemKindName(Kind)}, {"cause", Result.Cause}});
  }

  void onRead(ItemKind Kind, const ReadResult &Result) {
    this->countRead(Result);
    this->reportReads(Kind, Result);
    const TimePoint Now = Task::now();
    if (Result.End == ReadEnd::Value)
      this->Decisions.onPlatformValue(Kind, Result.Revision, Result.Text, Now);
    else if (Result.End == ReadEnd::Failed)
      this->Decisions.onPlatformFailed(Kind, Now);
    else
      this->Decisions.onPlatformUnchanged(Kind, Now);
    this->carryOut();
  }

  /** Logs when the platform was lost for the fleet, and when it is back. */
  void reportPlatform(std::optional<Duration> Age, TimePoint Now) {
    const bool Away = this->Decisions.readSchedule().isAway(Now);
    if (!Age || Away == this->PlatformAway)
      return;
    this->PlatformAway = Away;
    logEvent(LogLevel::Warning, Away ? "platform is away" : "platform is back",
             {{"good_read_age_ms", toMilliseconds(*Age)}});
  }

  /** Logs when this node begins or ceases to be one that reads. */
  void reportReader(TimePoint Now) {
    const ReadSchedule &Schedule = this->Decisions.readSchedule();
    if (Schedule.reads() == this->IsReader)
      return;
    this->IsReader = Schedule.reads();
    logEvent(LogLevel::Info,
             this->IsReader ? "platform reads begin" : "platform reads end",
             {{"place", Schedule.place()},
              {"nodes", this->Decisions.topology().size()},
              {"good_read_age_ms",
               toMilliseconds(Schedule.goodAge(Now).value_or(-seconds(1)))}});
  }

  void publishStatus() {
    const TimePoint Now = Task::now();
    this->NextStatus = Now + StatusPeriod;
    const VersionLedger &Config = this->Decisions.ledger(ItemKind::Config);
    const VersionLedger &List = this->Decisions.ledger(ItemKind::VmList);
    ControlStatus Status{.Config = Config.inForce(),
                         .VmList = List.inForce(),
                         .AppliedAt = this->AppliedAt,
                         .PlatformAge =
                             this->Decisions.readSchedule().goodAge(Now),
                         .Refused = Config.refused(),
                         .State = this->Decisions.membership().own().State,
                         .Settled = this->Decisions.settled(),
                         .Rank = this->Decisions.topology().rank(),
                         .Nodes = this->Decisions.topology().size()};
    this->reportPlatform(Status.PlatformAge, Now);
    const std::chrono::duration<double> Age =
        Status.PlatformAge.value_or(-seconds(1));
    Metrics &Counters = this->Context.Counters;
    Counters.set(Metric::PlatformAge, "", Age.count());
    Counters.set(Metric::VersionNumber, "config",
                 static_cast<double>(Status.Config.Number.value()));
    Counters.set(Metric::VersionNumber, "vm-list",
                 static_cast<double>(Status.VmList.Number.value()));
    const std::chrono::duration<double> Since =
        Status.AppliedAt.time_since_epoch();
    Counters.set(Metric::VersionSince, "config", Since.count());
    this->Context.Bus.Status.publish(Status);
  }

  NodeContext &Context;
  Task &Owner;
  ControlLinks Links;
  std::unique_ptr<PlatformSource> Platform;
  VersionCompiler Compiler;
  Spread Decisions;
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
