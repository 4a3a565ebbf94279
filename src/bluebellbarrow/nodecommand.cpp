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

/** Time for the last announcement of a node to leave the process. */
constexpr Duration LastWordTime = milliseconds(100);

constexpr unsigned RandomBits = 10;

/** Time for which log lines are held at most. */
constexpr Duration LogFlushPeriod = milliseconds(250);

/** Names the file of settings where the command line does not. */
constexpr const char *SettingsVariable = "BLUEBELLBARROW_SETTINGS";

/** Returns a number that grows with the clock and differs at each start. */
IncarnationId newLife() {
  const auto Now = std::chrono::system_clock::now().time_since_epoch();
  const auto Millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(Now).count();
  std::random_device Entropy;
  const uint64_t Random = Entropy() & ((1U << RandomBits) - 1);
  return IncarnationId((static_cast<uint64_t>(Millis) << RandomBits) | Random);
}

/** Returns the given path, or the one that the environment names. */
std::string settingsPath(const std::string &Given) {
  const char *Named = std::getenv(SettingsVariable);
  return Given.empty() && Named != nullptr ? Named : Given;
}

/** Creates and prepares every plug-in; empty after a failure. */
std::vector<std::unique_ptr<NodePlugin>> preparePlugins(NodeContext &Context) {
  std::vector<std::unique_ptr<NodePlugin>> Plugins;
  const NodePluginRegistry &Known = NodePluginRegistry::instance();
  for (const std::string &Name : Known.names())
    Plugins.push_back(Known.create(Name, Context));
  for (const auto &Each : Plugins) {
    const Result<std::monostate> Prepared = Each->prepare();
    if (!Prepared) {
      logError(LogLevel::Error, Prepared.error());
      return {};
    }
  }
  return Plugins;
}

/** Reads and checks the settings; says on standard error what is wrong. */
std::optional<NodeSettings> usableSettings(const std::string &Path) {
  Result<NodeSettings> Read = readNodeSettings(Path, overridableKeys());
  if (!Read) {
    std::cerr << "bluebellbarrow: " << Read.error().message() << '\n';
    return std::nullopt;
  }
  const std::string &Protocol = Read.value().PlatformProtocol;
  if (!PlatformSourceRegistry::instance().contains(Protocol)) {
    std::cerr << "bluebellbarrow: " << Path << ": unknown platform protocol '"
              << Protocol << "'\n";
    return std::nullopt;
  }
  return std::move(Read.value());
}

} // namespace

int runNode(const std::string &GivenPath) {
  configureAllocator();
  const std::string Path = settingsPath(GivenPath);
  const std::optional<NodeSettings> Settings = usableSettings(Path);
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
                      .Incarnation = newLife()};
  uint64_t CutRequests = 0;
  Timer LastWord(Main, [&Main] { Main.stop(); });
  Bus.Stopped.subscribe(Main, [&](const StoppedMessage &Message) {
    CutRequests = Message.AbortedRequests;
    Bus.LocalState.publish({MemberState::Gone});
    LastWord.start(LastWordTime);
  });
  SettingsWatcher Watch(Main, Path, *Settings,
                        [&Bus](std::shared_ptr<const NodeSettings> New) {
                          Bus.Settings.publish({std::move(New)});
                        });
  const SignalWatcher Signals(Main, {SIGTERM, SIGINT, SIGHUP}, [&](int Signal) {
    if (Signal == SIGHUP)
      Watch.reload();
    else
      Bus.Stop.publish({});
  });
  Timer Flush(Main, [&Flush] {
    flushLog();
    Flush.start(LogFlushPeriod);
  });
  Flush.start(LogFlushPeriod);

  const auto Plugins = preparePlugins(Context);
  if (Plugins.empty())
    return ExitFailure;
  logEvent(LogLevel::Info, "node started",
           {{"node", Settings->Name.str()},
            {"service", Settings->Service.str()},
            {"life", Context.Incarnation.value()}});
  Tasks.run();
  Tasks.stopWorkers();
  logEvent(LogLevel::Info, "node stopped", {{"cut_requests", CutRequests}});
  flushLog();
  return CutRequests == 0 ? ExitSuccess : ExitRequestsAborted;
}

} // namespace bluebellbarrow
