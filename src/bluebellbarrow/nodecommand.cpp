#include "nodecommand.h"

#include "exitcodes.h"
#include "kernel/log.h"
#include "plugins/metrics/metrics.h"
#include "plugins/nodeplugin.h"

#include <csignal>
#include <iostream>
#include <memory>
#include <random>
#include <thread>
#include <vector>

namespace bluebellbarrow {

namespace {

/** Time for the last announcement of a node to leave the process. */
constexpr Duration LastWordTime = milliseconds(100);

constexpr unsigned RandomBits = 10;

/** Returns a number that grows with the clock and differs at each start. */
Incarnation newLife() {
  const auto Now = std::chrono::system_clock::now().time_since_epoch();
  const auto Millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(Now).count();
  std::random_device Entropy;
  const uint64_t Random = Entropy() & ((1U << RandomBits) - 1);
  return Incarnation((static_cast<uint64_t>(Millis) << RandomBits) | Random);
}

/** Blocks the stop signals in this thread and those it starts. */
sigset_t blockStopSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return Signals;
}

} // namespace

int runNode(const std::string &SettingsPath) {
  const Result<NodeSettings> Settings = readNodeSettings(SettingsPath);
  if (!Settings) {
    std::cerr << "bluebellbarrow: " << Settings.error().message() << '\n';
    return ExitBadInput;
  }
  initLog(Settings.value().Log);
  const sigset_t Signals = blockStopSignals();

  NodeBus Bus;
  Metrics Counters;
  NodeContext Context{.Settings = Settings.value(),
                      .Bus = Bus,
                      .Counters = Counters,
                      .Life = newLife()};
  Task Main({.Name = "main", .MaxSockets = 64});
  uint64_t CutRequests = 0;
  Bus.Stopped.subscribe(Main, [&](const StoppedMessage &Message) {
    CutRequests = Message.CutRequests;
    Main.stop();
  });

  std::vector<std::unique_ptr<NodePlugin>> Plugins;
  const NodePluginRegistry &Known = NodePluginRegistry::instance();
  for (const std::string &Name : Known.names())
    Plugins.push_back(Known.create(Name, Context));
  for (const auto &Each : Plugins) {
    const Result<std::monostate> Prepared = Each->prepare();
    if (!Prepared) {
      logError(LogLevel::Error, Prepared.error());
      return ExitFailed;
    }
  }
  for (const auto &Each : Plugins)
    Each->start();
  logRecord(LogLevel::Info, {.Step = "start"},
            "node " + Settings.value().Name.str() + " is up");

  std::thread Waiter([&Signals, &Bus] {
    int Signal = 0;
    sigwait(&Signals, &Signal);
    Bus.Stop.publish({});
  });
  Main.run();
  Waiter.join();
  Bus.OwnState.publish({MemberState::Gone});
  std::this_thread::sleep_for(LastWordTime);
  for (const auto &Each : Plugins)
    Each->stop();
  logRecord(LogLevel::Info, {.Step = "stop"},
            std::to_string(CutRequests) + " requests were cut");
  return CutRequests == 0 ? ExitGood : ExitCut;
}

} // namespace bluebellbarrow
