/**
 * \file
 * Stand-in for the platform: serves values with watches and the VM list, as
 * docs/PLATFORM.md describes. Tests inject its faults through /control/knobs.
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

/** Name of the value that holds the VM list. */
const std::string VmListName = "vms";

/** A value and the revision in which it was last set. */
struct Value {
  std::string Text;
  uint64_t Revision = 0;
};

using Values = std::map<std::string, Value>;

/** Injected faults; 0 switches one off. */
struct Knobs {
  /** Reads get status 503. */
  int64_t Outage = 0;

  /** Reads get the values of the last capture. */
  int64_t Stale = 0;

  /** Every second read gets the values of the last capture. */
  int64_t Alternate = 0;

  /** Delay of the response to a read. */
  int64_t DelayMs = 0;

  /** Time until a new VM list can be read. */
  int64_t ListLagMs = 0;

  /** Reads in a second; those beyond get status 429. */
  int64_t Limit = 0;
};

/** Binds the name of a knob to its member. */
struct KnobField {
  const char *Name;
  int64_t Knobs::*Member;
};

constexpr std::array<KnobField, 6> KnobFields = {{
    {"outage", &Knobs::Outage},
    {"stale", &Knobs::Stale},
    {"alternate", &Knobs::Alternate},
    {"delay-ms", &Knobs::DelayMs},
    {"list-lag-ms", &Knobs::ListLagMs},
    {"limit", &Knobs::Limit},
}};

/**
 * A read of a value. Without a wait time it gets a response at once, otherwise
 * on a change or at its deadline.
 */
struct ValueRead {
  ExchangeId Id;
  std::string Name;
  uint64_t ChangedSince = 0;
  TimePoint Deadline;
  bool UsesStale = false;
};

/** A delayed response or VM list. */
struct DelayedAction {
  TimePoint DueTime;
  std::function<void()> Run;
};

/** Reads received, with the bytes of their responses. */
struct RequestCounts {
  uint64_t Requests = 0;
  uint64_t Watches = 0;
  uint64_t Refused = 0;
  uint64_t Bytes = 0;
};

class PlatformStandIn {
public:
  PlatformStandIn()
      : OwnerTask({.Name = "platform", .MaxSockets = 16384}),
        Server(OwnerTask,
               {.Name = "platform",
                .Local = {.Ip = Address(FLAGS_address), .Port = FLAGS_port},
                .Limits = {.MessageLimits = {.MaxBodyBytes = MaxValueBytes}},
                .MaxConnections = MaxConnections},
               {.RequestReceived =
                    [this](ExchangeId Id, const HttpRequest &Request,
                           TimePoint) { this->onRequest(Id, Request); },
                .Aborted =
                    [this](ExchangeId Id) {
                      this->Watches.remove_if([Id](const ValueRead &Watch) {
                        return Watch.Id == Id;
                      });
                    },
                .Malformed = [](const Error &) {}}),
        TickTimer(OwnerTask, [this] { this->onTick(); }) {}

  int run() {
    if (!this->Server.isListening()) {
      std::cerr << "platform: can't listen on " << FLAGS_address << '\n';
      return 1;
    }
    this->OwnerTask.post([this] { this->onTick(); });
    this->OwnerTask.run();
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

  void setKnobs(ExchangeId Id, const std::string &RequestTarget) {
    for (const KnobField &Knob : KnobFields)
      this->Faults.*Knob.Member =
          queryNumber(RequestTarget, Knob.Name, this->Faults.*Knob.Member);
    if (queryNumber(RequestTarget, "capture", 0) != 0)
      this->StaleValues = this->CurrentValues;
    this->respond(Id, 200, "ok");
  }

  /**
   * Publishes the packed version in \a Directory; only its manifest if
   * \a OmitValues is not 0.
   */
  void publish(ExchangeId Id, const std::string &Directory,
               int64_t OmitValues) {
    namespace fs = std::filesystem; // NOLINT: customary alias
    std::error_code IgnoredError;
    const fs::path Root(Directory);
    for (const fs::directory_entry &File :
         fs::directory_iterator(Root / "values", IgnoredError)) {
      const Result<std::string> Text = readFile(File.path().string());
      if (Text && OmitValues == 0)
        this->setValue(File.path().filename().string(), Text.value());
    }
    const Result<std::string> Manifest = readFile((Root / "manifest").string());
    if (Manifest)
      this->setValue("manifest", Manifest.value());
    this->respond(Id, Manifest ? 200 : 400, Manifest ? "ok" : "no manifest");
  }

  void onPut(ExchangeId Id, const std::string &Path,
             const HttpRequest &Request) {
    if (Path == "/v1/vms") {
      this->DelayedActions.push_back(
          {Task::now() + milliseconds(this->Faults.ListLagMs),
           [this, Body = Request.Body] { this->setVmList(Body); }});
    } else if (Path.rfind("/v1/values/", 0) == 0) {
      this->setValue(Path.substr(11), Request.Body);
    } else {
      this->respond(Id, 404, "unknown");
      return;
    }
    this->respond(Id, 200, "ok");
  }

  /** Sets the revision of a VM list and stores the list as a value. */
  void setVmList(const std::string &Body) {
    nlohmann::json List = nlohmann::json::parse(Body, nullptr, false);
    if (!List.is_object())
      return;
    List["revision"] = this->LastRevision + 1;
    this->setValue(VmListName, List.dump());
  }

  void setValue(const std::string &Name, const std::string &Text) {
    Value &Entry = this->CurrentValues[Name];
    Entry.Text = Text;
    Entry.Revision = ++this->LastRevision;
  }

  /** Counts a read; returns true if it exceeds the limit of this second. */
  bool countAndCheckLimit() {
    const TimePoint Now = Task::now();
    if (Now - this->WindowStart >= seconds(1)) {
      this->WindowStart = Now;
      this->RequestsInWindow = 0;
    }
    this->RequestsInWindow += 1;
    return this->Faults.Limit > 0 &&
           this->RequestsInWindow > this->Faults.Limit;
  }

  void onRead(ExchangeId Id, const std::string &Path,
              const HttpRequest &Request) {
    this->Counts.Requests += 1;
    if (this->Faults.Outage != 0 || this->countAndCheckLimit()) {
      this->Counts.Refused += 1;
      this->respond(Id, this->Faults.Outage != 0 ? 503 : 429, "refused");
      return;
    }
    ValueRead Read{.Id = Id};
    Read.Name = Path == "/v1/vms"
                    ? VmListName
                    : Path.substr(std::min<size_t>(Path.size(), 11));
    Read.ChangedSince = static_cast<uint64_t>(
        queryNumber(Request.RequestTarget, "changed-since", 0));
    const int64_t WaitMs = queryNumber(Request.RequestTarget, "wait-ms", 0);
    Read.Deadline = Task::now() + milliseconds(WaitMs);
    this->OddRead = !this->OddRead;
    Read.UsesStale = this->Faults.Stale != 0 ||
                     (this->Faults.Alternate != 0 && this->OddRead);
    this->Counts.Watches += WaitMs > 0 ? 1 : 0;
    if (this->tryRespond(Read, WaitMs == 0))
      return;
    this->Watches.push_back(Read);
  }

  /**
   * Responds to a read whose value has changed, or to any read if
   * \a RespondAnyway is true. Returns whether it responded.
   */
  bool tryRespond(const ValueRead &Read, bool RespondAnyway) {
    const Values &Source =
        Read.UsesStale ? this->StaleValues : this->CurrentValues;
    const auto Found = Source.find(Read.Name);
    const bool Changed =
        Found != Source.end() && Found->second.Revision > Read.ChangedSince;
    if (!Changed && !RespondAnyway)
      return false;
    if (Found == Source.end()) {
      this->respondAfterDelay(Read.Id,
                              {.Status = 404, .Body = "no such value"});
      return true;
    }
    if (!Changed) {
      this->respondAfterDelay(Read.Id, {.Status = 304});
      return true;
    }
    this->respondAfterDelay(
        Read.Id, {.Status = 200,
                  .Headers = {{"platform-revision",
                               std::to_string(Found->second.Revision)}},
                  .Body = Found->second.Text});
    return true;
  }

  /** Responds after the delay that the knob "delay-ms" sets. */
  void respondAfterDelay(ExchangeId Id, const HttpResponse &Response) {
    this->Counts.Bytes += Response.Body.size();
    if (this->Faults.DelayMs == 0) {
      this->Server.respond(Id, Response);
      return;
    }
    this->DelayedActions.push_back(
        {Task::now() + milliseconds(this->Faults.DelayMs),
         [this, Id, Response] { this->Server.respond(Id, Response); }});
  }

  void respond(ExchangeId Id, int Status, const std::string &Body) {
    this->Server.respond(Id, {.Status = Status, .Body = Body});
  }

  std::string countsJson() const {
    return nlohmann::json{{"requests", this->Counts.Requests},
                          {"watches", this->Counts.Watches},
                          {"refused", this->Counts.Refused},
                          {"bytes", this->Counts.Bytes},
                          {"waiting", this->Watches.size()}}
        .dump();
  }

  void onTick() {
    const TimePoint Now = Task::now();
    std::deque<DelayedAction> Actions;
    Actions.swap(this->DelayedActions);
    for (const DelayedAction &Action : Actions) {
      if (Action.DueTime <= Now)
        Action.Run();
      else
        this->DelayedActions.push_back(Action);
    }
    if (this->Faults.Outage != 0) {
      for (const ValueRead &Watch : this->Watches)
        this->respond(Watch.Id, 503, "refused");
      this->Watches.clear();
    }
    this->Watches.remove_if([this, Now](const ValueRead &Watch) {
      return this->tryRespond(Watch, Now >= Watch.Deadline);
    });
    this->TickTimer.start(TickPeriod);
  }

  Task OwnerTask;
  HttpServer Server;
  Timer TickTimer;
  Knobs Faults;
  RequestCounts Counts;
  Values CurrentValues;

  /** Values at the last capture; stand for a stale replica. */
  Values StaleValues;

  uint64_t LastRevision = 0;

  /** Reads that wait for a change. */
  std::list<ValueRead> Watches;

  std::deque<DelayedAction> DelayedActions;
  TimePoint WindowStart;
  int64_t RequestsInWindow = 0;

  /** Toggled by each read; with the knob "alternate", true means stale. */
  bool OddRead = false;
};

} // namespace

} // namespace bluebellbarrow

int main(int ArgumentCount, char **Arguments) {
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  std::signal(SIGPIPE, SIG_IGN);
  bluebellbarrow::PlatformStandIn StandIn;
  return StandIn.run();
}
