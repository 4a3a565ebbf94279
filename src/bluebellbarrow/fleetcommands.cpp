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

constexpr Duration VmListTimeout = seconds(5);
constexpr Duration PollTimeout = seconds(1);
constexpr Duration WatchPeriod = milliseconds(200);
constexpr Duration AuditTimeout = seconds(5);
constexpr size_t MaxAuditBytes = size_t{4} * 1024 * 1024;
constexpr size_t MaxNamesShown = 10;

bool hasMeshAndPeer(const FleetOptions &Options) {
  if (!Options.Mesh.empty() && !Options.Peer.empty())
    return true;
  std::cerr << "bluebellbarrow: --mesh and --peer are required\n";
  return false;
}

uint64_t configVersion(const NodeReport &Report) {
  return Report.Response->Versions[static_cast<size_t>(ResourceKind::Config)]
      .Number.value();
}

VersionTag listVersion(const NodeReport &Report) {
  return Report.Response->Versions[static_cast<size_t>(ResourceKind::VmList)];
}

/**
 * Returns the nodes whose VM list is older than \a Newest, so that they may not
 * know of an evacuation or of its end.
 */
std::vector<std::string>
nodesWithOlderList(const std::vector<NodeReport> &Reports,
                   const VersionId &Newest) {
  std::vector<std::string> Names;
  for (const NodeReport &Report : Reports)
    if (Report.Response && listVersion(Report) < toVersionTag(Newest))
      Names.push_back(Report.Node.Name.str());
  return Names;
}

Json toJson(const NodeReport &Report) {
  Json Fields = {{"name", Report.Node.Name.str()},
                 {"address", Report.Node.Ip.str()},
                 {"domain", Report.Node.Domain.str()},
                 {"service", Report.Node.Service.str()},
                 {"answers", Report.Response.has_value()}};
  if (Report.Response) {
    Fields["version"] = configVersion(Report);
    Fields["state"] = memberStateName(Report.Response->Sender.State);
  }
  return Fields;
}

void printTable(const std::vector<NodeReport> &Reports) {
  std::cout << std::left << std::setw(20) << "NODE" << std::setw(16)
            << "ADDRESS" << std::setw(14) << "DOMAIN" << std::setw(14)
            << "SERVICE" << std::setw(10) << "STATE"
            << "VERSION\n";
  for (const NodeReport &Report : Reports)
    std::cout << std::left << std::setw(20) << Report.Node.Name.str()
              << std::setw(16) << Report.Node.Ip.str() << std::setw(14)
              << Report.Node.Domain.str() << std::setw(14)
              << Report.Node.Service.str() << std::setw(10)
              << (Report.Response
                      ? memberStateName(Report.Response->Sender.State)
                      : "silent")
              << (Report.Response ? std::to_string(configVersion(Report)) : "-")
              << '\n';
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
  if (!hasMeshAndPeer(Options))
    return ExitInvalidInput;
  FleetClient Client(Options.Mesh, Options.Peer, Options.ControlPort);
  const Result<FetchedList> List = Client.fetchList(VmListTimeout);
  if (!List) {
    std::cerr << "status: " << List.error().message() << '\n';
    return ExitFailure;
  }
  const std::vector<NodeReport> Reports =
      Client.pollNodes(List.value().Content.Vms, PollTimeout);
  const std::vector<std::string> OutdatedNodes =
      nodesWithOlderList(Reports, List.value().Version);
  std::vector<std::string> EvacuatedDomains;
  for (const FailureDomain &Domain : List.value().Content.EvacuatedDomains)
    EvacuatedDomains.push_back(Domain.str());
  std::map<uint64_t, size_t> Counts;
  std::vector<std::string> UnresponsiveNodes;
  Json Nodes = Json::array();
  for (const NodeReport &Report : Reports) {
    if (Report.Response)
      Counts[configVersion(Report)] += 1;
    else
      UnresponsiveNodes.push_back(Report.Node.Name.str());
    Nodes.push_back(toJson(Report));
  }
  if (Options.Json) {
    Json Versions = Json::object();
    for (const auto &[Version, Count] : Counts)
      Versions[std::to_string(Version)] = Count;
    std::cout << Json{{"nodes", Nodes},
                      {"versions", Versions},
                      {"vm_list", List.value().Version.Number.value()},
                      {"evacuated", EvacuatedDomains},
                      {"older_vm_list", OutdatedNodes},
                      {"silent", UnresponsiveNodes}}
                     .dump(2)
              << '\n';
    return ExitSuccess;
  }
  printTable(Reports);
  for (const auto &[Version, Count] : Counts)
    std::cout << "version " << Version << " in force on " << Count
              << " nodes\n";
  if (!EvacuatedDomains.empty())
    std::cout << "evacuated:" << joinNames(EvacuatedDomains) << '\n';
  if (!OutdatedNodes.empty())
    std::cout << OutdatedNodes.size()
              << " with an older VM list:" << joinNames(OutdatedNodes) << '\n';
  if (!UnresponsiveNodes.empty())
    std::cout << UnresponsiveNodes.size()
              << " silent:" << joinNames(UnresponsiveNodes) << '\n';
  return ExitSuccess;
}

int watchVersion(const FleetOptions &Options, uint64_t Version) {
  if (!hasMeshAndPeer(Options) || Version == 0) {
    std::cerr << "watch: --version, --mesh and --peer are required\n";
    return ExitInvalidInput;
  }
  FleetClient Client(Options.Mesh, Options.Peer, Options.ControlPort);
  const TimePoint Start = Task::now();
  const std::chrono::duration<double> Timeout(Options.WaitSeconds);
  while (true) {
    const Result<std::vector<Vm>> Nodes = Client.fetchVms(VmListTimeout);
    std::vector<std::string> OutdatedNodes;
    size_t LiveCount = 0;
    for (const NodeReport &Report : Client.pollNodes(
             Nodes ? Nodes.value() : std::vector<Vm>(), PollTimeout)) {
      LiveCount += Report.Response ? 1 : 0;
      if (Report.Response && configVersion(Report) < Version)
        OutdatedNodes.push_back(Report.Node.Name.str());
    }
    const std::chrono::duration<double> Waited = Task::now() - Start;
    const bool Done = LiveCount > 0 && OutdatedNodes.empty();
    if (Options.Json)
      std::cout << Json{{"seconds", Waited.count()},
                        {"version", Version},
                        {"live", LiveCount},
                        {"behind", OutdatedNodes},
                        {"done", Done}}
                       .dump()
                << std::endl;
    else
      std::cout << std::fixed << std::setprecision(1) << Waited.count()
                << " s: version " << Version << " in force on "
                << LiveCount - OutdatedNodes.size() << " of " << LiveCount
                << " live nodes"
                << (OutdatedNodes.empty()
                        ? ""
                        : "; behind:" + joinNames(OutdatedNodes))
                << std::endl;
    if (Done)
      return ExitSuccess;
    if (Waited > Timeout)
      return ExitFailure;
    std::this_thread::sleep_for(WatchPeriod);
  }
}

namespace {

Result<std::string> fetchAudit(const Endpoint &Admin) {
  Task AuditTask({.Name = "client", .MaxSockets = 16});
  HttpClient Client(AuditTask, {.Name = "audit",
                                .LocalIp = Address(),
                                .Remote = Admin,
                                .SlotCount = 1,
                                .MaxBodyBytes = MaxAuditBytes});
  CallResult Call;
  Client.call({.Method = "GET",
               .RequestTarget = "/audit",
               .Headers = {{"Host", Admin.str()}},
               .Body = {}},
              AuditTimeout, [&](const CallResult &Result) {
                Call = Result;
                AuditTask.stop();
              });
  AuditTask.run();
  if (Call.Outcome != CallOutcome::Answered)
    return makeError(Errc::Unreachable, "fetch audit trail", Admin.str(),
                     Call.Cause);
  return Call.Response.Body;
}

void printEvent(const Json &Event) {
  const auto Millis = Event.at("time_ms").get<int64_t>();
  const std::time_t UnixSeconds = Millis / 1000;
  std::tm Utc{};
  gmtime_r(&UnixSeconds, &Utc);
  std::cout << std::put_time(&Utc, "%F %T") << '.' << std::setfill('0')
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
  const Result<Endpoint> Remote = parseEndpoint(Admin, 0);
  if (!Remote || Remote.value().Port == 0) {
    std::cerr << "audit: --admin must be IP:PORT\n";
    return ExitInvalidInput;
  }
  const Result<std::string> Text = fetchAudit(Remote.value());
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
    std::cerr << "audit: " << Admin << " sent no valid audit trail\n";
    return ExitFailure;
  }
  for (const Json &Event : Trail)
    printEvent(Event);
  return ExitSuccess;
}

} // namespace bluebellbarrow
