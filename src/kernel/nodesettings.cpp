#include "nodesettings.h"

#include "inifile.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <sstream>

namespace bluebellbarrow {

namespace {

constexpr double MaxPort = 65535;

/** One second in microseconds, the base unit of KeyType::Duration. */
constexpr double Second = 1e6;

constexpr double Day = 24 * 3600 * Second;

const std::array<KeySpec, 31> Keys = {{
    {"node", "mesh", KeyType::Text, 1, MaxTextBytes, "", "name of the mesh"},
    {"node", "name", KeyType::Text, 1, MaxTextBytes, "", "name of the VM"},
    {"node", "address", KeyType::Text, 1, 63, "", "IP address of the VM"},
    {"node", "domain", KeyType::Text, 1, MaxTextBytes, "",
     "failure domain of the VM"},
    {"node", "service", KeyType::Text, 1, MaxTextBytes, "",
     "service that the target provides"},
    {"node", "threads", KeyType::Integer, 1, 3, "1",
     "1: all tasks share one thread; 3: each task has its own"},
    {"platform", "protocol", KeyType::Text, 1, 32, "published",
     "protocol for reading the platform and for calling targets"},
    {"platform", "address", KeyType::Text, 1, 63, "",
     "IP address, with or without ':PORT'"},
    {"platform", "port", KeyType::Integer, 1, MaxPort, "8500", "TCP port"},
    {"target", "address", KeyType::Text, 1, 63, "127.0.0.1",
     "IP address, with or without ':PORT'"},
    {"target", "port", KeyType::Integer, 1, MaxPort, "8080", "TCP port"},
    {"target", "health", KeyType::Text, 1, MaxTextBytes, "/health",
     "path of the health probe"},
    {"target", "forward-headers", KeyType::Text, 0, MaxTextBytes, "",
     "no effect: all headers are forwarded"},
    {"listen", "bind-address", KeyType::Text, 0, 63, "",
     "IP address that the peer and control ports are bound to, if the VM's "
     "address is translated to it; empty for the VM's address"},
    {"listen", "callers", KeyType::Text, 1, 63, "15001",
     "TCP port for callers, with or without 'IP:'"},
    {"listen", "peers", KeyType::Integer, 1, MaxPort, "15002",
     "TCP port for calls from other nodes"},
    {"listen", "control", KeyType::Integer, 1, MaxPort, "15003",
     "TCP and UDP port for control messages between nodes"},
    {"listen", "admin", KeyType::Integer, 1, MaxPort, "15004",
     "TCP port of the admin interface"},
    {"listen", "admin-address", KeyType::Text, 1, 63, "127.0.0.1",
     "IP address of the admin interface"},
    {"listen", "ready", KeyType::Text, 0, 63, "",
     "IP:PORT that also answers /ready; empty for none"},
    {"machine", "core-share", KeyType::Number, 0.001, 1e6, "1",
     "CPU cores that the process may use, such as 0.5"},
    {"machine", "link", KeyType::Number, 0.01, 1e9, "1000",
     "bandwidth of the VM's network link in Mbit/s"},
    {"machine", "memory", KeyType::Size, 0, 1e15, "0 MB",
     "memory that the process may use; 0 MB if only limits/max-held counts"},
    {"machine", "descriptors", KeyType::Integer, 0, 1e9, "0",
     "file descriptors that the process may use; 0 for the usual number"},
    {"start", "seeds", KeyType::Text, 0, MaxTextBytes, "",
     "IP addresses of nodes to query at the start, separated by commas"},
    {"start", "silence", KeyType::Duration, 0, 60 * Second, "1 s",
     "time without any reply from peers after which a starting node uses the "
     "platform"},
    {"stop", "leave-time", KeyType::Duration, 0, 600 * Second, "30 s",
     "time for which callers may still come"},
    {"stop", "limit", KeyType::Duration, 0, Day, "90 s",
     "time after which a shutdown no longer waits for open requests"},
    {"log", "level", KeyType::Text, 1, 10, "info",
     "debug, info, warning or error"},
    {"log", "json", KeyType::Bool, 0, 1, "no", "one JSON object a line"},
    {"log", "output", KeyType::Text, 1, 10, "stderr", "stderr or stdout"},
}};

/** A value as text, and in the base unit of its type. */
struct Value {
  std::string Text;
  double NumericValue = 0;
};

/** Values by settingId(). */
using Values = std::map<std::string, Value>;

/** Returns "SECTION/KEY". */
std::string settingId(const KeySpec &Spec) {
  return std::string(Spec.Section) + "/" + Spec.Key;
}

std::vector<std::string> splitList(const std::string &Text) {
  std::vector<std::string> Items;
  std::istringstream Stream(Text);
  for (std::string Item; std::getline(Stream, Item, ',');) {
    std::erase(Item, ' ');
    if (!Item.empty())
      Items.push_back(Item);
  }
  return Items;
}

/** Parses a list of "IP" or "IP:PORT" and returns the IP addresses. */
Result<std::vector<Address>> parseSeeds(const std::string &Text) {
  std::vector<Address> Seeds;
  for (const std::string &Item : splitList(Text)) {
    const Result<Endpoint> Parsed = parseEndpoint(Item, 1);
    if (!Parsed)
      return Parsed.error();
    Seeds.push_back(Parsed.value().Ip);
  }
  return Seeds;
}

Result<std::monostate> checkEndpoint(const std::string &Text) {
  const Result<Endpoint> Parsed = parseEndpoint(Text, 1);
  if (!Parsed)
    return Parsed.error();
  return std::monostate();
}

/** Parses "PORT", with the address \a DefaultIp, or "IP:PORT". */
Result<Endpoint> parseListenEndpoint(const std::string &Text,
                                     const Address &DefaultIp) {
  constexpr KeySpec PortSpec{"listen", "callers", KeyType::Integer, 1, MaxPort,
                             "",       ""};
  if (Text.find(':') != std::string::npos)
    return parseEndpoint(Text, 1);
  const Result<double> Number = parseValue(PortSpec, Text);
  if (!Number)
    return Number.error();
  return Endpoint{.Ip = DefaultIp, .Port = static_cast<int>(Number.value())};
}

/** Checks the value of a Text key that requires a specific syntax. */
Result<std::monostate> checkText(const KeySpec &Spec, const IniEntry &Entry) {
  const std::string Key = Spec.Key;
  if (Key == "address" || Key == "admin-address")
    return checkEndpoint(Entry.Value);
  if ((Key == "ready" || Key == "bind-address") && !Entry.Value.empty())
    return checkEndpoint(Entry.Value);
  if (Key == "seeds") {
    const auto Seeds = parseSeeds(Entry.Value);
    if (!Seeds)
      return Seeds.error();
  }
  if (Key == "callers") {
    const auto Parsed = parseListenEndpoint(Entry.Value, Address("0.0.0.0"));
    if (!Parsed)
      return Parsed.error();
  }
  static const std::set<std::string> Levels = {"debug", "info", "warning",
                                               "error"};
  if (Key == "level" && !Levels.contains(Entry.Value))
    return makeError(Errc::BadValue, "", "",
                     "'" + Entry.Value +
                         "' is not debug, info, warning or error");
  if (Key == "output" && Entry.Value != "stderr" && Entry.Value != "stdout")
    return makeError(Errc::BadValue, "", "",
                     "'" + Entry.Value + "' is not stderr or stdout");
  return std::monostate();
}

LogLevel parseLogLevel(const std::string &Name) {
  if (Name == "debug")
    return LogLevel::Debug;
  if (Name == "warning")
    return LogLevel::Warning;
  return Name == "error" ? LogLevel::Error : LogLevel::Info;
}

NodeSettings buildSettings(Values &ValuesById) {
  const auto Text = [&ValuesById](const char *Id) {
    return ValuesById[Id].Text;
  };
  const auto Integer = [&ValuesById](const char *Id) {
    return static_cast<int>(ValuesById[Id].NumericValue);
  };
  const auto TimeSpan = [&ValuesById](const char *Id) {
    return microseconds(static_cast<int64_t>(ValuesById[Id].NumericValue));
  };
  const auto EndpointAt = [&](const char *Id, const char *PortId) {
    return parseEndpoint(Text(Id), Integer(PortId)).value();
  };
  const Address Ip(Text("node/address"));
  NodeSettings Settings{
      .Mesh = Text("node/mesh"),
      .Name = VmName(Text("node/name")),
      .Ip = Ip,
      .BindIp = Text("listen/bind-address").empty()
                    ? Ip
                    : Address(Text("listen/bind-address")),
      .Domain = FailureDomain(Text("node/domain")),
      .Service = ServiceName(Text("node/service")),
      .Threads = Integer("node/threads"),
      .PlatformProtocol = Text("platform/protocol"),
      .PlatformEndpoint = EndpointAt("platform/address", "platform/port"),
      .TargetEndpoint = EndpointAt("target/address", "target/port"),
      .HealthPath = Text("target/health"),
      .CallerEndpoint = parseListenEndpoint(Text("listen/callers"), Ip).value(),
      .PeerPort = Integer("listen/peers"),
      .ControlPort = Integer("listen/control"),
      .AdminEndpoint = {.Ip = Address(Text("listen/admin-address")),
                        .Port = Integer("listen/admin")},
      .ReadyEndpoint = std::nullopt,
      .Resources = {.CpuCores = ValuesById["machine/core-share"].NumericValue,
                    .LinkMbps = ValuesById["machine/link"].NumericValue,
                    .MemoryBytes = static_cast<size_t>(
                        ValuesById["machine/memory"].NumericValue),
                    .Descriptors = static_cast<size_t>(
                        ValuesById["machine/descriptors"].NumericValue)},
      .Seeds = parseSeeds(Text("start/seeds")).value(),
      .PeerSilenceTimeout = TimeSpan("start/silence"),
      .LeaveGracePeriod = TimeSpan("stop/leave-time"),
      .ShutdownTimeout = TimeSpan("stop/limit"),
      .Log = {.Level = parseLogLevel(Text("log/level")),
              .Json = ValuesById["log/json"].NumericValue != 0,
              .ToStandardOutput = Text("log/output") == "stdout"}};
  if (!Text("listen/ready").empty())
    Settings.ReadyEndpoint = parseEndpoint(Text("listen/ready"), 1).value();
  return Settings;
}

} // namespace

std::span<const KeySpec> nodeSettingsKeys() { return Keys; }

Result<NodeSettings> parseNodeSettings(const std::string &Name,
                                       const std::string &Text,
                                       std::span<const KeySpec> Extra) {
  const Result<IniFile> File = parseIni(Name, Text);
  if (!File)
    return File.error();
  Values ValuesById;
  for (const KeySpec &Spec : Keys) {
    const std::string Default = Spec.Default;
    const Result<double> Parsed = parseValue(Spec, Default);
    if (Parsed)
      ValuesById[settingId(Spec)] = {.Text = Default,
                                     .NumericValue = Parsed.value()};
  }
  std::vector<KeySpec> AllSpecs(Keys.begin(), Keys.end());
  AllSpecs.insert(AllSpecs.end(), Extra.begin(), Extra.end());
  const KeyTable AllowedKeys(std::move(AllSpecs));
  std::vector<SettingsOverride> Overrides;
  const auto Checked =
      checkEntries(File.value(), AllowedKeys,
                   [&](size_t Index, const IniEntry &Entry,
                       double Number) -> Result<std::monostate> {
                     const KeySpec &Spec = AllowedKeys[Index];
                     if (Index >= Keys.size()) {
                       Overrides.push_back({.Section = Spec.Section,
                                            .Key = Spec.Key,
                                            .Text = Entry.Value,
                                            .NumericValue = Number});
                       return std::monostate();
                     }
                     ValuesById[settingId(Spec)] = {.Text = Entry.Value,
                                                    .NumericValue = Number};
                     return checkText(Spec, Entry);
                   });
  if (!Checked)
    return Checked.error();
  for (const KeySpec &Spec : Keys)
    if (!ValuesById.contains(settingId(Spec)))
      return makeError(Errc::Incomplete, Name, "",
                       "[" + std::string(Spec.Section) + "] has no key '" +
                           Spec.Key + "'");
  NodeSettings Settings = buildSettings(ValuesById);
  Settings.Overrides = std::move(Overrides);
  return Settings;
}

Result<NodeSettings> readNodeSettings(const std::string &Path,
                                      std::span<const KeySpec> Extra) {
  const Result<std::string> Text = readFile(Path);
  if (!Text)
    return Text.error();
  return parseNodeSettings(Path, Text.value(), Extra);
}

} // namespace bluebellbarrow
