/**
 * \file
 * Stand-in for the platform: values with watches and the VM list, as
 * docs/PLATFORM.md describes, with knobs for its faults.
 */

#include "kernel/httpserver.h"
#include "kernel/inifile.h"
#include "kernel/task.h"
#include "query.h"

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <deque>
#include <filesystem>
#include <iostream>
#include <list>
#include <map>

DEFINE_string(address, "127.0.0.1", "IP number to listen on");
DEFINE_int32(port, 8500, "TCP port to listen on");

namespace bluebellbarrow {

namespace {

constexpr size_t MaxConnections = 16000;
constexpr size_t MaxValueBytes = size_t{1024} * 1024;
constexpr Duration TickPeriod = milliseconds(2);

/** Name under which the VM list is kept among the values. */
const std::string VmListName = "vms";

/** A value and the number of the change that set it. */
struct Value {
  std::string Text;
  uint64_t Revision = 0;
};

using Values = std::map<std::string, Value>;

/** Faults that can be switched on. */
struct Knobs {
  int64_t Outage = 0;
  int64_t Stale = 0;
  int64_t Alternate = 0;
  int64_t DelayMs = 0;
  int64_t ListLagMs = 0;
  int64_t Limit = 0;
};

struct KnobName {
  const char *Name;
  int64_t Knobs::*Member;
};

constexpr std::array<KnobName, 6> KnobNames = {{
    {"outage", &Knobs::Outage},
    {"stale", &Knobs::Stale},
    {"alternate", &Knobs::Alternate},
    {"delay-ms", &Knobs::DelayMs},
    {"list-lag-ms", &Knobs::ListLagMs},
    {"limit", &Knobs::Limit},
}};

/** A read that waits for a change. */
struct Watch {
  ExchangeId Id;
  std::string Name;
  uint64_t ChangedSince = 0;
  TimePoint Until;
  bool UsesStale = false;
};

/** An answer, or a new VM list, that is due later. */
struct Delayed {
  TimePoint Due;
  std::function<void()> Work;
};

/** What was asked of the platform. */
struct Counts {
  uint64_t Requests = 0;
  uint64_t Watches = 0;
  uint64_t Refused = 0;
  uint64_t Bytes = 0;
};

class PlatformStandIn {
public:
  PlatformStandIn()
      : Owner({.Name = "platform", .MaxSockets = 16384}),
        Server(Owner,
               {.Name = "platform",
                .Local = {.Ip = Address(FLAGS_address), .Port = FLAGS_port},
                .Limits = {.MessageLimits = {.MaxBodyBytes = MaxValueBytes}},
                .MaxConnections = MaxConnections},
               {.RequestReceived =
                    [this](ExchangeId Id, const HttpRequest &Request,
                           const Endpoint &) { this->onRequest(Id, Request); },
                .Aborted =
                    [this](ExchangeId Id) {
                      this->Waiting.remove_if(
                          [Id](const Watch &Each) { return Each.Id == Id; });
                    },
                .Malformed = [](const Error &) {}}),
        Tick(Owner, [this] { this->onTick(); }) {}

  int run() {
    if (!this->Server.isListening()) {
      std::cerr << "platform: can't listen on " << FLAGS_address << '\n';
      return 1;
    }
    this->Owner.post([this] { this->onTick(); });
    this->Owner.run();
    return 0;
  }

private:
  void onRequest(ExchangeId Id, const HttpRequest &Request) {
    const std::string Path = extractPath(Request.RequestTarget);
    if (Path.rfind("/control/", 0) == 0)
      this->onControl(Id, Path, Request);
    else if (Request.Method == "PUT")
      this->onPut(Id, Path, Request);
    else
      this->onRead(Id, Path, Request);
  }

  void onControl(ExchangeId Id, const std::string &Path,
                 const HttpRequest &Request) {
    if (Path == "/control/counts")
      this->respond(Id, 200, this->countsJson());
    else if (Path == "/control/knobs")
      this->setKnobs(Id, Request.RequestTarget);
    else if (Path == "/control/publish")
      this->publish(Id, Request.Body,
                    queryNumber(Request.RequestTarget, "hold", 0));
    else
      this->respond(Id, 404, "unknown");
  }

  void setKnobs(ExchangeId Id, const std::string &Target) {
    for (const KnobName &Each : KnobNames)
      this->Faults.*Each.Member =
          queryNumber(Target, Each.Name, this->Faults.*Each.Member);
    if (queryNumber(Target, "capture", 0) != 0)
      this->Old = this->Current;
    this->respond(Id, 200, "ok");
  }

  /** Takes a packed version from a directory; \a Hold leaves out values. */
  void publish(ExchangeId Id, const std::string &Directory, int64_t Hold) {
    namespace fs = std::filesystem; // NOLINT: customary alias
    std::error_code Code;
    const fs::path Root(Directory);
    for (const fs::directory_entry &File :
         fs::directory_iterator(Root / "values", Code)) {
      const Result<std::string> Text = readFile(File.path().string());
      if (Text && Hold == 0)
        this->set(File.path().filename().string(), Text.value());
    }
    const Result<std::string> Manifest = readFile((Root / "manifest").string());
    if (Manifest)
      this->set("manifest", Manifest.value());
    this->respond(Id, Manifest ? 200 : 400, Manifest ? "ok" : "no manifest");
  }

  void onPut(ExchangeId Id, const std::string &Path,
             const HttpRequest &Request) {
    if (Path == "/v1/vms") {
      this->Later.push_back(
          {Task::now() + milliseconds(this->Faults.ListLagMs),
           [this, Body = Request.Body] { this->setVmList(Body); }});
    } else if (Path.rfind("/v1/values/", 0) == 0) {
      this->set(Path.substr(11), Request.Body);
    } else {
      this->respond(Id, 404, "unknown");
      return;
    }
    this->respond(Id, 200, "ok");
  }

  /** Numbers the list and keeps it like any other value. */
  void setVmList(const std::string &Body) {
    nlohmann::json List = nlohmann::json::parse(Body, nullptr, false);
    if (!List.is_object())
      return;
    List["revision"] = this->LastRevision + 1;
    this->set(VmListName, List.dump());
  }

  void set(const std::string &Name, const std::string &Text) {
    Value &Target = this->Current[Name];
    Target.Text = Text;
    Target.Revision = ++this->LastRevision;
  }

  bool overLimit() {
    const TimePoint Now = Task::now();
    if (Now - this->WindowStart >= seconds(1)) {
      this->WindowStart = Now;
      this->InWindow = 0;
    }
    this->InWindow += 1;
    return this->Faults.Limit > 0 && this->InWindow > this->Faults.Limit;
  }

  void onRead(ExchangeId Id, const std::string &Path,
              const HttpRequest &Request) {
    this->Seen.Requests += 1;
    if (this->Faults.Outage != 0 || this->overLimit()) {
      this->Seen.Refused += 1;
      this->respond(Id, this->Faults.Outage != 0 ? 503 : 429, "refused");
      return;
    }
    Watch Read{.Id = Id};
    Read.Name = Path == "/v1/vms"
                    ? VmListName
                    : Path.substr(std::min<size_t>(Path.size(), 11));
    Read.ChangedSince = static_cast<uint64_t>(
        queryNumber(Request.RequestTarget, "changed-since", 0));
    const int64_t WaitMs = queryNumber(Request.RequestTarget, "wait-ms", 0);
    Read.Until = Task::now() + milliseconds(WaitMs);
    this->Turn = !this->Turn;
    Read.UsesStale =
        this->Faults.Stale != 0 || (this->Faults.Alternate != 0 && this->Turn);
    this->Seen.Watches += WaitMs > 0 ? 1 : 0;
    if (this->tryAnswer(Read, WaitMs == 0))
      return;
    this->Waiting.push_back(Read);
  }

  /** Answers a read that is due; \a Final answers it in any case. */
  bool tryAnswer(const Watch &Read, bool Final) {
    const Values &From = Read.UsesStale ? this->Old : this->Current;
    const auto Found = From.find(Read.Name);
    const bool Changed =
        Found != From.end() && Found->second.Revision > Read.ChangedSince;
    if (!Changed && !Final)
      return false;
    if (Found == From.end()) {
      this->respondLater(Read.Id, {.Status = 404, .Body = "no such value"});
      return true;
    }
    if (!Changed) {
      this->respondLater(Read.Id, {.Status = 304});
      return true;
    }
    this->respondLater(Read.Id,
                       {.Status = 200,
                        .Headers = {{"platform-revision",
                                     std::to_string(Found->second.Revision)}},
                        .Body = Found->second.Text});
    return true;
  }

  void respondLater(ExchangeId Id, const HttpResponse &Response) {
    this->Seen.Bytes += Response.Body.size();
    if (this->Faults.DelayMs == 0) {
      this->Server.respond(Id, Response);
      return;
    }
    this->Later.push_back(
        {Task::now() + milliseconds(this->Faults.DelayMs),
         [this, Id, Response] { this->Server.respond(Id, Response); }});
  }

  void respond(ExchangeId Id, int Status, const std::string &Body) {
    this->Server.respond(Id, {.Status = Status, .Body = Body});
  }

  std::string countsJson() const {
    return nlohmann::json{{"requests", this->Seen.Requests},
                          {"watches", this->Seen.Watches},
                          {"refused", this->Seen.Refused},
                          {"bytes", this->Seen.Bytes},
                          {"waiting", this->Waiting.size()}}
        .dump();
  }

  void onTick() {
    const TimePoint Now = Task::now();
    std::deque<Delayed> Due;
    Due.swap(this->Later);
    for (const Delayed &Each : Due) {
      if (Each.Due <= Now)
        Each.Work();
      else
        this->Later.push_back(Each);
    }
    if (this->Faults.Outage != 0) {
      for (const Watch &Each : this->Waiting)
        this->respond(Each.Id, 503, "refused");
      this->Waiting.clear();
    }
    this->Waiting.remove_if([this, Now](const Watch &Each) {
      return this->tryAnswer(Each, Now >= Each.Until);
    });
    this->Tick.start(TickPeriod);
  }

  Task Owner;
  HttpServer Server;
  Timer Tick;
  Knobs Faults;
  Counts Seen;
  Values Current;

  /** What a stale replica still shows. */
  Values Old;

  uint64_t LastRevision = 0;
  std::list<Watch> Waiting;
  std::deque<Delayed> Later;
  TimePoint WindowStart;
  int64_t InWindow = 0;
  bool Turn = false;
};

} // namespace

} // namespace bluebellbarrow

int main(int Count, char **Arguments) {
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  std::signal(SIGPIPE, SIG_IGN);
  bluebellbarrow::PlatformStandIn StandIn;
  return StandIn.run();
}
