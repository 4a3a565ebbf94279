#include "nodesettings.h"

#include "inifile.h"

#include <arpa/inet.h>
#include <array>
#include <map>
#include <sstream>

namespace bluebellbarrow {

namespace {

constexpr double MaxPort = 65535;
constexpr double Second = 1e6;

const std::array<KeySpec, 22> Keys = {{
    {"node", "mesh", KeyType::Text, 1, 63, "", "name of the mesh"},
    {"node", "name", KeyType::Text, 1, 63, "", "name of the VM"},
    {"node", "address", KeyType::Text, 1, 63, "", "IP number of the VM"},
    {"node", "domain", KeyType::Text, 1, 63, "", "failure domain of the VM"},
    {"node", "service", KeyType::Text, 1, 63, "", "service of the target"},
    {"platform", "address", KeyType::Text, 1, 63, "", "IP number"},
    {"platform", "port", KeyType::Count, 1, MaxPort, "8500", "TCP port"},
    {"target", "address", KeyType::Text, 1, 63, "127.0.0.1", "IP number"},
    {"target", "port", KeyType::Count, 1, MaxPort, "8080", "TCP port"},
    {"target", "health", KeyType::Text, 1, 150, "/health", "path to probe"},
    {"target", "forward-headers", KeyType::Text, 0, 190, "",
     "headers to hand on besides the usual ones, with commas"},
    {"listen", "callers", KeyType::Count, 1, MaxPort, "15001",
     "TCP port for callers"},
    {"listen", "peers", KeyType::Count, 1, MaxPort, "15002",
     "TCP port for calls from other nodes"},
    {"listen", "control", KeyType::Count, 1, MaxPort, "15003",
     "TCP and UDP port for versions"},
    {"listen", "admin", KeyType::Count, 1, MaxPort, "15004",
     "TCP port for operators"},
    {"listen", "admin-address", KeyType::Text, 1, 63, "127.0.0.1",
     "IP number for operators"},
    {"start", "seeds", KeyType::Text, 0, 190, "",
     "IP numbers of nodes to ask first, with commas"},
    {"start", "silence", KeyType::Span, 0, 60 * Second, "1 s",
     "time for which peers must be silent before the platform counts"},
    {"stop", "leave-time", KeyType::Span, 0, 600 * Second, "30 s",
     "time for which callers may still come"},
    {"stop", "limit", KeyType::Span, Second, 3600 * Second, "90 s",
     "time after which a stop no longer waits"},
    {"log", "level", KeyType::Text, 1, 10, "info",
     "debug, info, warning or error"},
    {"log", "json", KeyType::Flag, 0, 1, "no", "one JSON object a line"},
}};

/** A value as written, and in the base unit of its type. */
struct Value {
  std::string Text;
  double Base = 0;
};

using Values = std::map<std::string, Value>;

std::string idOf(const KeySpec &Spec) {
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

bool isIp(const std::string &Text) {
  in_addr Parsed{};
  return inet_pton(AF_INET, Text.c_str(), &Parsed) == 1;
}

Result<std::monostate> checkText(const KeySpec &Spec, const IniEntry &Entry) {
  const std::string Key = Spec.Key;
  std::vector<std::string> Addresses;
  if (Key == "address" || Key == "admin-address")
    Addresses = {Entry.Value};
  if (Key == "seeds")
    Addresses = splitList(Entry.Value);
  for (const std::string &Each : Addresses)
    if (!isIp(Each))
      return makeError(Errc::BadValue, "", "",
                       "'" + Each + "' is not an IPv4 number");
  static const std::map<std::string, int> Levels = {
      {"debug", 0}, {"info", 1}, {"warning", 2}, {"error", 3}};
  if (Key == "level" && !Levels.contains(Entry.Value))
    return makeError(Errc::BadValue, "", "",
                     "'" + Entry.Value +
                         "' is not debug, info, warning or error");
  return std::monostate();
}

LogLevel levelOf(const std::string &Name) {
  if (Name == "debug")
    return LogLevel::Debug;
  if (Name == "warning")
    return LogLevel::Warning;
  return Name == "error" ? LogLevel::Error : LogLevel::Info;
}

NodeSettings fromValues(Values &From) {
  const auto Text = [&From](const char *Id) { return From[Id].Text; };
  const auto Port = [&From](const char *Id) {
    return static_cast<int>(From[Id].Base);
  };
  const auto Span = [&From](const char *Id) {
    return microseconds(static_cast<int64_t>(From[Id].Base));
  };
  NodeSettings Settings{.Mesh = Text("node/mesh"),
                        .Name = VmName(Text("node/name")),
                        .Ip = Address(Text("node/address")),
                        .Domain = FailureDomain(Text("node/domain")),
                        .Service = ServiceName(Text("node/service")),
                        .PlatformIp = Address(Text("platform/address")),
                        .PlatformPort = Port("platform/port"),
                        .TargetIp = Address(Text("target/address")),
                        .TargetPort = Port("target/port"),
                        .HealthPath = Text("target/health"),
                        .ForwardHeaders =
                            splitList(Text("target/forward-headers")),
                        .CallerPort = Port("listen/callers"),
                        .PeerPort = Port("listen/peers"),
                        .ControlPort = Port("listen/control"),
                        .AdminIp = Address(Text("listen/admin-address")),
                        .AdminPort = Port("listen/admin"),
                        .Seeds = {},
                        .BootSilence = Span("start/silence"),
                        .LeaveTime = Span("stop/leave-time"),
                        .StopLimit = Span("stop/limit"),
                        .Log = {.Level = levelOf(Text("log/level")),
                                .Json = From["log/json"].Base != 0}};
  for (const std::string &Ip : splitList(Text("start/seeds")))
    Settings.Seeds.emplace_back(Ip);
  return Settings;
}

} // namespace

std::span<const KeySpec> nodeSettingsKeys() { return Keys; }

Result<NodeSettings> parseNodeSettings(const std::string &Name,
                                       const std::string &Text) {
  const Result<IniFile> File = parseIni(Name, Text);
  if (!File)
    return File.error();
  Values Found;
  for (const KeySpec &Spec : Keys) {
    const std::string Default = Spec.Default;
    const Result<double> Base = parseValue(Spec, Default);
    if (Base)
      Found[idOf(Spec)] = {.Text = Default, .Base = Base.value()};
  }
  const auto Checked =
      checkEntries(File.value(), Keys,
                   [&Found](const KeySpec &Spec, const IniEntry &Entry,
                            double Base) -> Result<std::monostate> {
                     Found[idOf(Spec)] = {.Text = Entry.Value, .Base = Base};
                     return checkText(Spec, Entry);
                   });
  if (!Checked)
    return Checked.error();
  for (const KeySpec &Spec : Keys)
    if (!Found.contains(idOf(Spec)))
      return makeError(Errc::Incomplete, Name, "",
                       "[" + std::string(Spec.Section) + "] has no key '" +
                           Spec.Key + "'");
  return fromValues(Found);
}

Result<NodeSettings> readNodeSettings(const std::string &Path) {
  const Result<std::string> Text = readFile(Path);
  if (!Text)
    return Text.error();
  return parseNodeSettings(Path, Text.value());
}

} // namespace bluebellbarrow
