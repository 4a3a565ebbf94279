/**
 * \file
 * Stand-in for a target of any service: has a service time and slots, sheds
 * load, drains, starts after a delay, honours deadlines and cancellation, and
 * reports how often each request other than GET ran, by its body.
 */

#include "kernel/httpclient.h"
#include "kernel/httpheaders.h"
#include "kernel/httpserver.h"
#include "kernel/task.h"
#include "query.h"

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <array>
#include <csignal>
#include <iostream>
#include <map>
#include <memory>

DEFINE_string(address, "127.0.0.1", "IP number to listen on");
DEFINE_int32(port, 8080, "TCP port to listen on");
DEFINE_string(name, "target", "name that responses contain");
DEFINE_int32(node_port, 0, "callers' port of the target's node; 0 for none");
DEFINE_string(calls, "", "path that each GET calls through the target's node");
DEFINE_int32(slots, 10, "requests that run concurrently");
DEFINE_int32(service_ms, 5, "service time of a request");
DEFINE_int32(start_ms, 0, "time until the target is ready");

namespace bluebellbarrow {

namespace {

constexpr size_t MaxBodyBytes = size_t{1024} * 1024;
constexpr size_t MaxConnections = 4000;

/** Behaviour that tests set through /control/knobs. */
struct Knobs {
  int64_t Draining = 0;

  /** Reports itself healthy and serving regardless of its state. */
  int64_t Mislead = 0;

  /** Percentage of admitted requests that fail immediately. */
  int64_t ErrorPercent = 0;

  int64_t ServiceMs = 0;
};

/** Binds the name of a knob to its member. */
struct KnobField {
  const char *Name;
  int64_t Knobs::*Member;
};

constexpr std::array<KnobField, 4> KnobFields = {{
    {"draining", &Knobs::Draining},
    {"mislead", &Knobs::Mislead},
    {"error-percent", &Knobs::ErrorPercent},
    {"service-ms", &Knobs::ServiceMs},
}};

class TargetStandIn {
public:
  TargetStandIn()
      : OwnerTask({.Name = "target", .MaxSockets = 4096}),
        ReadyTime(Task::now() + milliseconds(FLAGS_start_ms)),
        Server(OwnerTask,
               {.Name = "target",
                .Local = {.Ip = Address(FLAGS_address), .Port = FLAGS_port},
                .Limits = {.MessageLimits = {.MaxBodyBytes = MaxBodyBytes}},
                .MaxConnections = MaxConnections},
               {.RequestReceived =
                    [this](ExchangeId Id, const HttpRequest &Request,
                           TimePoint) { this->onRequest(Id, Request); },
                .Aborted =
                    [this](ExchangeId Id) {
                      this->CancelledCount += this->Running.erase(Id);
                    },
                .Malformed = [](const Error &) {}}) {
    this->ActiveKnobs.ServiceMs = FLAGS_service_ms;
    if (FLAGS_node_port != 0)
      this->NodeClient = std::make_unique<HttpClient>(
          this->OwnerTask,
          HttpClientOptions{
              .Name = "node",
              .LocalIp = {},
              .Remote = {.Ip = Address(FLAGS_address), .Port = FLAGS_node_port},
              .SlotCount = static_cast<size_t>(FLAGS_slots),
              .MaxBodyBytes = MaxBodyBytes});
  }

  int run() {
    if (!this->Server.isListening()) {
      std::cerr << "target: can't listen on " << FLAGS_address << '\n';
      return 1;
    }
    this->OwnerTask.run();
    return 0;
  }

private:
  struct Run {
    HttpRequest Request;
    std::unique_ptr<Timer> ServiceTimer;
    std::unique_ptr<Timer> DeadlineTimer;
  };

  void onRequest(ExchangeId Id, const HttpRequest &Request) {
    const std::string Path = extractPath(Request.RequestTarget);
    if (Path == "/health" || Path == "/load")
      this->respondHealth(Id);
    else if (Path == "/control/knobs")
      this->setKnobs(Id, Request.RequestTarget);
    else if (Path == "/control/runs")
      this->Server.respond(Id, {.Status = 200, .Body = this->runsJson()});
    else
      this->admit(Id, Request);
  }

  void setKnobs(ExchangeId Id, const std::string &RequestTarget) {
    for (const KnobField &Knob : KnobFields)
      this->ActiveKnobs.*Knob.Member =
          queryNumber(RequestTarget, Knob.Name, this->ActiveKnobs.*Knob.Member);
    this->Server.respond(Id, {.Status = 200, .Body = "ok"});
  }

  bool isReady() const { return Task::now() >= this->ReadyTime; }

  void respondHealth(ExchangeId Id) {
    const bool Draining = this->ActiveKnobs.Draining != 0;
    const bool Healthy = this->isReady() || this->ActiveKnobs.Mislead != 0;
    const nlohmann::json Load = {{"slots", FLAGS_slots},
                                 {"used", this->Running.size()}};
    const bool ShowDraining = Draining && this->ActiveKnobs.Mislead == 0;
    this->Server.respond(Id,
                         {.Status = Healthy ? 200 : 503,
                          .Headers = {{header::TargetState,
                                       ShowDraining ? "draining" : "serving"}},
                          .Body = Load.dump()});
  }

  void refuse(ExchangeId Id, const char *Reason) {
    this->RefusedCount += 1;
    this->Server.respond(Id, {.Status = 503,
                              .Headers = {{header::Outcome, "not-run"},
                                          {header::Reason, Reason}},
                              .Body = Reason});
  }

  void admit(ExchangeId Id, const HttpRequest &Request) {
    const bool Draining = this->ActiveKnobs.Draining != 0;
    if (Draining)
      this->ArrivedWhileDraining += 1;
    if (!this->isReady() || Draining) {
      this->refuse(Id, Draining ? "draining" : "starting");
      return;
    }
    if (this->Running.size() >= static_cast<size_t>(FLAGS_slots)) {
      this->refuse(Id, "shedding");
      return;
    }
    this->AdmittedCount += 1;
    const auto Percent = static_cast<uint64_t>(this->ActiveKnobs.ErrorPercent);
    if (this->AdmittedCount % 100 < Percent) {
      this->Server.respond(Id, {.Status = 500, .Body = "error"});
      return;
    }
    this->start(Id, Request);
  }

  void start(ExchangeId Id, const HttpRequest &Request) {
    if (Request.Method != "GET")
      this->RunCounts[Request.Body] += 1;
    Run &NewRun = this->Running[Id];
    NewRun.Request = Request;
    NewRun.ServiceTimer = std::make_unique<Timer>(
        this->OwnerTask, [this, Id] { this->finish(Id); });
    NewRun.ServiceTimer->start(milliseconds(this->ActiveKnobs.ServiceMs));
    const int64_t RemainingMs =
        parseNumber(headerValue(Request.Headers, header::DeadlineMs), 0);
    if (RemainingMs <= 0)
      return;
    NewRun.DeadlineTimer = std::make_unique<Timer>(this->OwnerTask, [this, Id] {
      this->OwnerTask.post([this, Id] { this->onDeadline(Id); });
    });
    NewRun.DeadlineTimer->start(milliseconds(RemainingMs));
  }

  void onDeadline(ExchangeId Id) {
    if (this->Running.erase(Id) > 0)
      this->Server.respond(Id, {.Status = 504, .Body = "deadline"});
  }

  void finish(ExchangeId Id) {
    const HttpRequest Request = this->Running.at(Id).Request;
    if (Request.Method == "GET" && !FLAGS_calls.empty() &&
        this->NodeClient != nullptr &&
        this->NodeClient->busySlots() < this->NodeClient->slotCount()) {
      this->callDependency(Id, Request);
      return;
    }
    this->OwnerTask.post(
        [this, Id, Request] { this->respondSuccess(Id, Request, ""); });
  }

  /** Calls FLAGS_calls through the target's node and passes on the deadline. */
  void callDependency(ExchangeId Id, const HttpRequest &Request) {
    HttpRequest Nested{.Method = "GET",
                       .RequestTarget = FLAGS_calls,
                       .Headers = {{"Host", "mesh"}}};
    for (const char *Name : {header::DeadlineMs, header::CallDepth})
      Nested.Headers.push_back(
          {Name, std::string(headerValue(Request.Headers, Name))});
    this->NodeClient->call(Nested, seconds(5),
                           [this, Id, Request](const CallResult &Result) {
                             this->onDependencyDone(Id, Request, Result);
                           });
  }

  void onDependencyDone(ExchangeId Id, const HttpRequest &Request,
                        const CallResult &Result) {
    const HttpResponse &Nested = Result.Response;
    if (Result.Outcome == CallOutcome::Answered && Nested.Status == 200) {
      this->respondSuccess(Id, Request, Nested.Body);
      return;
    }
    this->Running.erase(Id);
    this->Server.respond(Id, {.Status = 502,
                              .Headers = {{header::NoRetry, "1"}},
                              .Body = "labels: " + Nested.Body});
  }

  void respondSuccess(ExchangeId Id, const HttpRequest &Request,
                      const std::string &DependencyBody) {
    if (this->Running.erase(Id) == 0)
      return;
    std::string Body = FLAGS_name + " " + Request.Method + " " +
                       Request.RequestTarget + " " + Request.Body;
    if (!DependencyBody.empty())
      Body += " [" + DependencyBody + "]";
    this->Server.respond(Id, {.Status = 200,
                              .Headers = {{"content-type", "text/plain"}},
                              .Body = Body});
  }

  std::string runsJson() const {
    return nlohmann::json{{"name", FLAGS_name},
                          {"count", this->AdmittedCount},
                          {"refused", this->RefusedCount},
                          {"cancelled", this->CancelledCount},
                          {"after_drain", this->ArrivedWhileDraining},
                          {"runs", this->RunCounts}}
        .dump();
  }

  Task OwnerTask;
  TimePoint ReadyTime;
  Knobs ActiveKnobs;
  HttpServer Server;

  /** Connections to the target's node; null without --node_port. */
  std::unique_ptr<HttpClient> NodeClient;

  std::map<ExchangeId, Run> Running;

  /** Number of runs of each request other than GET, by its body. */
  std::map<std::string, uint64_t> RunCounts;

  uint64_t AdmittedCount = 0;
  uint64_t RefusedCount = 0;
  uint64_t CancelledCount = 0;

  /** Requests that arrived while the target was draining. */
  uint64_t ArrivedWhileDraining = 0;
};

} // namespace

} // namespace bluebellbarrow

int main(int ArgumentCount, char **Arguments) {
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  std::signal(SIGPIPE, SIG_IGN);
  bluebellbarrow::TargetStandIn StandIn;
  return StandIn.run();
}
