#include "fleetcommands.h"

#include "exitcodes.h"
#include "fleetclient.h"
#include "kernel/httpclient.h"
#include "kernel/task.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <iomanip>
#include <iostream>
#include <map>
#include <thread>

namespace bluebellbarrow {

namespace {

using Json = nlohmann::json;

constexpr Duration ListLimit = seconds(5);
constexpr Duration AskLimit = seconds(1);
constexpr Duration WatchPeriod = milliseconds(200);
constexpr Duration AuditLimit = seconds(5);
constexpr size_t MaxAuditBytes = size_t{4} * 1024 * 1024;
constexpr size_t MaxNamesShown = 10;

bool complete(const FleetOptions &Options) {
  if (!Options.Mesh.empty() && !Options.Peer.empty())
    return true;
  std::cerr << "bluebellbarrow: needs --mesh and --peer\n";
  return false;
}

uint64_t versionOf(const NodeReport &Of) {
  return Of.Answer->Versions[static_cast<size_t>(ResourceKind::Config)]
      .Number.value();
}

Json toJson(const NodeReport &Of) {
  Json Line = {{"name", Of.Node.Name.str()},
               {"address", Of.Node.Ip.str()},
               {"domain", Of.Node.Domain.str()},
               {"service", Of.Node.Service.str()},
               {"answers", Of.Answer.has_value()}};
  if (Of.Answer) {
    Line["version"] = versionOf(Of);
    Line["state"] = memberStateName(Of.Answer->Sender.State);
  }
  return Line;
}

void printTable(const std::vector<NodeReport> &Reports) {
  std::cout << std::left << std::setw(20) << "NODE" << std::setw(16)
            << "ADDRESS" << std::setw(14) << "DOMAIN" << std::setw(14)
            << "SERVICE" << std::setw(10) << "STATE"
            << "VERSION\n";
  for (const NodeReport &Each : Reports)
    std::cout << std::left << std::setw(20) << Each.Node.Name.str()
              << std::setw(16) << Each.Node.Ip.str() << std::setw(14)
              << Each.Node.Domain.str() << std::setw(14)
              << Each.Node.Service.str() << std::setw(10)
              << (Each.Answer ? memberStateName(Each.Answer->Sender.State)
                              : "silent")
              << (Each.Answer ? std::to_string(versionOf(Each)) : "-") << '\n';
}

std::string joinNames(const std::vector<std::string> &Names) {
  std::string Text;
  for (size_t Index = 0; Index < Names.size() && Index < MaxNamesShown; ++Index)
    Text += " " + Names[Index];
  if (Names.size() > MaxNamesShown)
    Text += " and " + std::to_string(Names.size() - MaxNamesShown) + " more";
  return Text;
}

} // namespace

int showStatus(const FleetOptions &Options) {
  if (!complete(Options))
    return ExitInvalidInput;
  FleetClient Client(Options.Mesh, Options.Peer, Options.ControlPort);
  const Result<std::vector<Vm>> Nodes = Client.fetchVms(ListLimit);
  if (!Nodes) {
    std::cerr << "status: " << Nodes.error().message() << '\n';
    return ExitFailure;
  }
  const std::vector<NodeReport> Reports =
      Client.pollNodes(Nodes.value(), AskLimit);
  std::map<uint64_t, size_t> Counts;
  std::vector<std::string> Silent;
  Json List = Json::array();
  for (const NodeReport &Each : Reports) {
    if (Each.Answer)
      Counts[versionOf(Each)] += 1;
    else
      Silent.push_back(Each.Node.Name.str());
    List.push_back(toJson(Each));
  }
  if (Options.Json) {
    Json Versions = Json::object();
    for (const auto &[Version, Count] : Counts)
      Versions[std::to_string(Version)] = Count;
    std::cout << Json{{"nodes", List},
                      {"versions", Versions},
                      {"silent", Silent}}
                     .dump(2)
              << '\n';
    return ExitSuccess;
  }
  printTable(Reports);
  for (const auto &[Version, Count] : Counts)
    std::cout << "version " << Version << " in force on " << Count
              << " nodes\n";
  if (!Silent.empty())
    std::cout << Silent.size() << " silent:" << joinNames(Silent) << '\n';
  return ExitSuccess;
}

int watchVersion(const FleetOptions &Options, uint64_t Version) {
  if (!complete(Options) || Version == 0) {
    std::cerr << "watch: needs --version, --mesh and --peer\n";
    return ExitInvalidInput;
  }
  FleetClient Client(Options.Mesh, Options.Peer, Options.ControlPort);
  const TimePoint Start = Task::now();
  const std::chrono::duration<double> Limit(Options.WaitSeconds);
  while (true) {
    const Result<std::vector<Vm>> Nodes = Client.fetchVms(ListLimit);
    std::vector<std::string> Behind;
    size_t Live = 0;
    for (const NodeReport &Each : Client.pollNodes(
             Nodes ? Nodes.value() : std::vector<Vm>(), AskLimit)) {
      Live += Each.Answer ? 1 : 0;
      if (Each.Answer && versionOf(Each) < Version)
        Behind.push_back(Each.Node.Name.str());
    }
    const std::chrono::duration<double> Waited = Task::now() - Start;
    const bool Done = Live > 0 && Behind.empty();
    if (Options.Json)
      std::cout << Json{{"seconds", Waited.count()},
                        {"version", Version},
                        {"live", Live},
                        {"behind", Behind},
                        {"done", Done}}
                       .dump()
                << std::endl;
    else
      std::cout << std::fixed << std::setprecision(1) << Waited.count()
                << " s: version " << Version << " in force on "
                << Live - Behind.size() << " of " << Live << " live nodes"
                << (Behind.empty() ? "" : "; behind:" + joinNames(Behind))
                << std::endl;
    if (Done)
      return ExitSuccess;
    if (Waited > Limit)
      return ExitFailure;
    std::this_thread::sleep_for(WatchPeriod);
  }
}

namespace {

Result<std::string> fetchAudit(const Endpoint &Admin) {
  Task Owner({.Name = "client", .MaxSockets = 16});
  HttpClient Client(Owner, {.Name = "audit",
                            .LocalIp = Address(),
                            .Remote = Admin,
                            .SlotCount = 1,
                            .MaxBodyBytes = MaxAuditBytes});
  CallResult Answer;
  Client.call({.Method = "GET",
               .RequestTarget = "/audit",
               .Headers = {{"Host", Admin.str()}},
               .Body = {}},
              AuditLimit, [&](const CallResult &Result) {
                Answer = Result;
                Owner.stop();
              });
  Owner.run();
  if (Answer.Outcome != CallOutcome::Answered)
    return makeError(Errc::Unreachable, "read audit trail", Admin.str(),
                     Answer.Cause);
  return Answer.Response.Body;
}

void printEvent(const Json &Event) {
  const auto Millis = Event.at("time_ms").get<int64_t>();
  const std::time_t Second = Millis / 1000;
  std::tm Parts{};
  gmtime_r(&Second, &Parts);
  std::cout << std::put_time(&Parts, "%F %T") << '.' << std::setfill('0')
            << std::right << std::setw(3) << Millis % 1000 << std::setfill(' ')
            << ' ' << std::left << std::setw(16)
            << Event.at("event").get<std::string>() << std::setw(8)
            << Event.at("kind").get<std::string>() << std::setw(20)
            << Event.at("version").get<std::string>() << std::setw(16)
            << Event.at("from").get<std::string>()
            << Event.at("detail").get<std::string>();
  if (Event.at("count").get<uint64_t>() > 1)
    std::cout << " (" << Event.at("count") << " times)";
  std::cout << '\n';
}

} // namespace

int showAudit(const std::string &Admin, bool AsJson) {
  const Result<Endpoint> Place = parseEndpoint(Admin, 0);
  if (!Place || Place.value().Port == 0) {
    std::cerr << "audit: --admin is IP:PORT\n";
    return ExitInvalidInput;
  }
  const Result<std::string> Text = fetchAudit(Place.value());
  if (!Text) {
    std::cerr << "audit: " << Text.error().message() << '\n';
    return ExitFailure;
  }
  if (AsJson) {
    std::cout << Text.value() << '\n';
    return ExitSuccess;
  }
  const Json Trail = Json::parse(Text.value(), nullptr, false);
  if (!Trail.is_array()) {
    std::cerr << "audit: " << Admin << " gave no audit trail\n";
    return ExitFailure;
  }
  for (const Json &Event : Trail)
    printEvent(Event);
  return ExitSuccess;
}

} // namespace bluebellbarrow
