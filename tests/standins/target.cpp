/**
 * \file
 * Stand-in for a target of any service: takes a time for each request, has
 * slots, sheds, drains, starts slowly, accepts deadlines and cancellation,
 * and lists how often each non-idempotent request ran.
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
DEFINE_string(name, "target", "name that answers carry");
DEFINE_int32(node_port, 0, "callers' port of the node beside; 0 for none");
DEFINE_string(calls, "", "path that a GET of this target calls by its node");
DEFINE_int32(slots, 10, "requests that run at once");
DEFINE_int32(service_ms, 5, "time that a request takes");
DEFINE_int32(start_ms, 0, "time until the target is ready");

namespace bluebellbarrow {

namespace {

constexpr size_t MaxBodyBytes = size_t{1024} * 1024;
constexpr size_t MaxConnections = 4000;

/** Behaviour that can be switched on. */
struct Knobs {
  int64_t Draining = 0;

  /** Claims to be healthy whatever is so. */
  int64_t Mislead = 0;

  /** Answers this share of requests, in percent, with an error at once. */
  int64_t ErrorPercent = 0;

  int64_t ServiceMs = 0;
};

struct KnobName {
  const char *Name;
  int64_t Knobs::*Member;
};

constexpr std::array<KnobName, 4> KnobNames = {{
    {"draining", &Knobs::Draining},
    {"mislead", &Knobs::Mislead},
    {"error-percent", &Knobs::ErrorPercent},
    {"service-ms", &Knobs::ServiceMs},
}};

class TargetStandIn {
public:
  TargetStandIn()
      : Owner({.Name = "target", .MaxSockets = 4096}),
        Ready(Task::now() + milliseconds(FLAGS_start_ms)),
        Server(Owner,
               {.Name = "target",
                .Local = {.Ip = Address(FLAGS_address), .Port = FLAGS_port},
                .Limits = {.MessageLimits = {.MaxBodyBytes = MaxBodyBytes}},
                .MaxConnections = MaxConnections},
               {.RequestReceived =
                    [this](ExchangeId Id, const HttpRequest &Request,
                           const Endpoint &) { this->onRequest(Id, Request); },
                .Aborted =
                    [this](ExchangeId Id) {
                      this->Cancelled += this->Running.erase(Id);
                    },
                .Malformed = [](const Error &) {}}) {
    this->Behaviour.ServiceMs = FLAGS_service_ms;
    if (FLAGS_node_port != 0)
      this->Node = std::make_unique<HttpClient>(
          this->Owner,
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
    this->Owner.run();
    return 0;
  }

private:
  struct Run {
    HttpRequest Request;
    std::unique_ptr<Timer> Service;
    std::unique_ptr<Timer> Deadline;
  };

  void onRequest(ExchangeId Id, const HttpRequest &Request) {
    const std::string Path = extractPath(Request.RequestTarget);
    if (Path == "/health" || Path == "/load")
      this->answerHealth(Id);
    else if (Path == "/control/knobs")
      this->setKnobs(Id, Request.RequestTarget);
    else if (Path == "/control/runs")
      this->Server.respond(Id, {.Status = 200, .Body = this->runsJson()});
    else
      this->admit(Id, Request);
  }

  void setKnobs(ExchangeId Id, const std::string &Target) {
    for (const KnobName &Each : KnobNames)
      this->Behaviour.*Each.Member =
          queryNumber(Target, Each.Name, this->Behaviour.*Each.Member);
    this->Server.respond(Id, {.Status = 200, .Body = "ok"});
  }

  bool ready() const { return Task::now() >= this->Ready; }

  void answerHealth(ExchangeId Id) {
    const bool Draining = this->Behaviour.Draining != 0;
    const bool Healthy = this->ready() || this->Behaviour.Mislead != 0;
    const nlohmann::json Load = {{"slots", FLAGS_slots},
                                 {"used", this->Running.size()}};
    const bool Shown = Draining && this->Behaviour.Mislead == 0;
    this->Server.respond(
        Id, {.Status = Healthy ? 200 : 503,
             .Headers = {{header::TargetState, Shown ? "draining" : "serving"}},
             .Body = Load.dump()});
  }

  void refuse(ExchangeId Id, const char *Reason) {
    this->Refused += 1;
    this->Server.respond(Id, {.Status = 503,
                              .Headers = {{header::Outcome, "not-run"},
                                          {header::Reason, Reason}},
                              .Body = Reason});
  }

  void admit(ExchangeId Id, const HttpRequest &Request) {
    const bool Draining = this->Behaviour.Draining != 0;
    if (Draining)
      this->AfterDrain += 1;
    if (!this->ready() || Draining) {
      this->refuse(Id, Draining ? "draining" : "starting");
      return;
    }
    if (this->Running.size() >= static_cast<size_t>(FLAGS_slots)) {
      this->refuse(Id, "shedding");
      return;
    }
    this->Count += 1;
    const auto Percent = static_cast<uint64_t>(this->Behaviour.ErrorPercent);
    if (this->Count % 100 < Percent) {
      this->Server.respond(Id, {.Status = 500, .Body = "error"});
      return;
    }
    this->start(Id, Request);
  }

  void start(ExchangeId Id, const HttpRequest &Request) {
    if (Request.Method != "GET")
      this->Runs[Request.Body] += 1;
    Run &New = this->Running[Id];
    New.Request = Request;
    New.Service =
        std::make_unique<Timer>(this->Owner, [this, Id] { this->finish(Id); });
    New.Service->start(milliseconds(this->Behaviour.ServiceMs));
    const int64_t LeftMs =
        toNumber(headerValue(Request.Headers, header::DeadlineMs), 0);
    if (LeftMs <= 0)
      return;
    New.Deadline = std::make_unique<Timer>(this->Owner, [this, Id] {
      this->Owner.post([this, Id] { this->giveUp(Id); });
    });
    New.Deadline->start(milliseconds(LeftMs));
  }

  void giveUp(ExchangeId Id) {
    if (this->Running.erase(Id) > 0)
      this->Server.respond(Id, {.Status = 504, .Body = "deadline"});
  }

  void finish(ExchangeId Id) {
    const HttpRequest Request = this->Running.at(Id).Request;
    if (Request.Method == "GET" && !FLAGS_calls.empty() &&
        this->Node != nullptr &&
        this->Node->busySlots() < this->Node->slotCount()) {
      this->draw(Id, Request);
      return;
    }
    this->Owner.post([this, Id, Request] { this->answer(Id, Request, ""); });
  }

  /** Calls the other service by the node beside, handing on the deadline. */
  void draw(ExchangeId Id, const HttpRequest &Request) {
    HttpRequest Inner{.Method = "GET",
                      .RequestTarget = FLAGS_calls,
                      .Headers = {{"Host", "mesh"}}};
    for (const char *Name : {header::DeadlineMs, header::CallDepth})
      Inner.Headers.push_back(
          {Name, std::string(headerValue(Request.Headers, Name))});
    this->Node->call(Inner, seconds(5),
                     [this, Id, Request](const CallResult &Result) {
                       this->onDrawn(Id, Request, Result);
                     });
  }

  void onDrawn(ExchangeId Id, const HttpRequest &Request,
               const CallResult &Result) {
    const HttpResponse &Inner = Result.Response;
    if (Result.Outcome == CallOutcome::Answered && Inner.Status == 200) {
      this->answer(Id, Request, Inner.Body);
      return;
    }
    this->Running.erase(Id);
    this->Server.respond(Id, {.Status = 502,
                              .Headers = {{header::NoRetry, "1"}},
                              .Body = "labels: " + Inner.Body});
  }

  void answer(ExchangeId Id, const HttpRequest &Request,
              const std::string &Labels) {
    if (this->Running.erase(Id) == 0)
      return;
    std::string Body = FLAGS_name + " " + Request.Method + " " +
                       Request.RequestTarget + " " + Request.Body;
    if (!Labels.empty())
      Body += " [" + Labels + "]";
    this->Server.respond(Id, {.Status = 200,
                              .Headers = {{"content-type", "text/plain"}},
                              .Body = Body});
  }

  std::string runsJson() const {
    return nlohmann::json{{"name", FLAGS_name},
                          {"count", this->Count},
                          {"refused", this->Refused},
                          {"cancelled", this->Cancelled},
                          {"after_drain", this->AfterDrain},
                          {"runs", this->Runs}}
        .dump();
  }

  Task Owner;
  TimePoint Ready;
  Knobs Behaviour;
  HttpServer Server;
  std::unique_ptr<HttpClient> Node;
  std::map<ExchangeId, Run> Running;
  std::map<std::string, uint64_t> Runs;
  uint64_t Count = 0;
  uint64_t Refused = 0;
  uint64_t Cancelled = 0;

  /** Requests that came after the target said that it drains. */
  uint64_t AfterDrain = 0;
};

} // namespace

} // namespace bluebellbarrow

int main(int Count, char **Arguments) {
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  std::signal(SIGPIPE, SIG_IGN);
  bluebellbarrow::TargetStandIn StandIn;
  return StandIn.run();
}
