#include "nodecommand.h"

#include "exitcodes.h"
#include "kernel/allocator.h"
#include "kernel/log.h"
#include "kernel/signalwatcher.h"
#include "plugins/metrics/metrics.h"
#include "plugins/nodeplugin.h"
#include "plugins/platform/platformsource.h"
#include "plugins/settingswatcher.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <optional>
#include <random>
#include <vector>

namespace bluebellbarrow {

namespace {

/** Time for the final announcement to be sent before the process ends. */
constexpr Duration FinalAnnouncementTime = milliseconds(100);

constexpr unsigned IncarnationRandomBits = 10;

/** Maximum time that log lines stay in the buffer. */
constexpr Duration LogFlushPeriod = milliseconds(250);

/** Environment variable with the settings path; --settings overrides it. */
constexpr const char *SettingsVariable = "BLUEBELLBARROW_SETTINGS";

/**
 * Returns a new incarnation number: the clock's milliseconds, so that it grows,
 * followed by random bits, so that it differs at each start.
 */
IncarnationId makeIncarnation() {
  const auto Now = std::chrono::system_clock::now().time_since_epoch();
  const auto Millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(Now).count();
  std::random_device Entropy;
  const uint64_t Random = Entropy() & ((1U << IncarnationRandomBits) - 1);
  return IncarnationId(
      (static_cast<uint64_t>(Millis) << IncarnationRandomBits) | Random);
}

/** Returns \a GivenPath, or the path from the environment if it is empty. */
std::string resolveSettingsPath(const std::string &GivenPath) {
  const char *VariablePath = std::getenv(SettingsVariable);
  return GivenPath.empty() && VariablePath != nullptr ? VariablePath
                                                      : GivenPath;
}

/**
 * Creates and prepares every plug-in; logs a failure and returns an empty list
 * after it.
 */
std::vector<std::unique_ptr<NodePlugin>> preparePlugins(NodeContext &Context) {
  std::vector<std::unique_ptr<NodePlugin>> Plugins;
  const NodePluginRegistry &Registry = NodePluginRegistry::instance();
  for (const std::string &Name : Registry.names())
    Plugins.push_back(Registry.create(Name, Context));
  for (const auto &Plugin : Plugins) {
    const Result<std::monostate> Prepared = Plugin->prepare();
    if (!Prepared) {
      logError(LogLevel::Error, Prepared.error());
      return {};
    }
  }
  return Plugins;
}

/** Reads and checks the settings; prints a fault to standard error. */
std::optional<NodeSettings> loadSettings(const std::string &Path) {
  Result<NodeSettings> Parsed = readNodeSettings(Path, overridableKeys());
  if (!Parsed) {
    std::cerr << "bluebellbarrow: " << Parsed.error().message() << '\n';
    return std::nullopt;
  }
  const std::string &Protocol = Parsed.value().PlatformProtocol;
  if (!PlatformSourceRegistry::instance().contains(Protocol)) {
    std::cerr << "bluebellbarrow: " << Path << ": unknown platform protocol '"
              << Protocol << "'\n";
    return std::nullopt;
  }
  return std::move(Parsed.value());
}

} // namespace

int runNode(const std::string &SettingsPath) {
  configureAllocator();
  const std::string Path = resolveSettingsPath(SettingsPath);
  const std::optional<NodeSettings> Settings = loadSettings(Path);
  if (!Settings)
    return ExitInvalidInput;
  initLog(Settings->Log);
  SignalWatcher::block({SIGTERM, SIGINT, SIGHUP});

  NodeBus Bus;
  Metrics Counters;
  TaskGroup Tasks(Settings->Threads == 1);
  Task &Main = Tasks.mainTask();
  NodeContext Context{.Settings = *Settings,
                      .Tasks = Tasks,
                      .Bus = Bus,
                      .NodeMetrics = Counters,
                      .Incarnation = makeIncarnation()};
  uint64_t AbortedRequests = 0;
  Timer ExitTimer(Main, [&Main] { Main.stop(); });
  Bus.ShutdownComplete.subscribe(Main,
                                 [&](const ShutdownCompleteMessage &Message) {
                                   AbortedRequests = Message.AbortedRequests;
                                   Bus.LocalState.publish({MemberState::Gone});
                                   ExitTimer.start(FinalAnnouncementTime);
                                 });
  SettingsWatcher Watcher(
      Main, Path, *Settings,
      [&Bus](std::shared_ptr<const NodeSettings> NewSettings) {
        Bus.Settings.publish({std::move(NewSettings)});
      });
  const SignalWatcher Signals(Main, {SIGTERM, SIGINT, SIGHUP}, [&](int Signal) {
    if (Signal == SIGHUP)
      Watcher.reload();
    else
      Bus.Shutdown.publish({});
  });
  Timer FlushTimer(Main, [&FlushTimer] {
    flushLog();
    FlushTimer.start(LogFlushPeriod);
  });
  FlushTimer.start(LogFlushPeriod);

  const auto Plugins = preparePlugins(Context);
  if (Plugins.empty())
    return ExitFailure;
  logEvent(LogLevel::Info, "node started",
           {{"node", Settings->Name.str()},
            {"service", Settings->Service.str()},
            {"life", Context.Incarnation.value()}});
  Tasks.run();
  Tasks.stopWorkers();
  logEvent(LogLevel::Info, "node stopped", {{"cut_requests", AbortedRequests}});
  flushLog();
  return AbortedRequests == 0 ? ExitSuccess : ExitRequestsAborted;
}

} // namespace bluebellbarrow
