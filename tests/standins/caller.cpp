/**
 * \file
 * Stand-in for callers: sends requests to nodes at a constant rate or as fast
 * as connections become free, checks that each response is complete and belongs
 * to its request, and prints a summary.
 */

#include "kernel/httpclient.h"
#include "kernel/httpheaders.h"
#include "kernel/task.h"
#include "query.h"

#include <boost/histogram.hpp>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <fstream>
#include <iostream>
#include <memory>
#include <sstream>
#include <unistd.h>
#include <vector>

DEFINE_string(nodes, "", "IP:PORT of each node, separated by commas");
DEFINE_double(rate, 100,
              "requests per second; 0 to send as soon as a "
              "connection is free");
DEFINE_double(seconds, 5, "time to run");
DEFINE_int32(callers, 16, "connections to each node");
DEFINE_string(get, "", "path for idempotent requests");
DEFINE_string(post, "", "path for non-idempotent requests");
DEFINE_int32(post_percent, 0, "percentage of non-idempotent requests");
DEFINE_bool(keys, false, "send an Idempotency-Key with each POST");
DEFINE_int32(timeout_ms, 5000, "time to wait for a response");
DEFINE_string(log, "", "file that gets one line per POST: body and outcome");

namespace bluebellbarrow {

namespace {

constexpr size_t MaxBodyBytes = size_t{4} * 1024 * 1024;
constexpr size_t HistogramBins = 20000;
constexpr double MinLatencyMicros = 10;
constexpr double MaxLatencyMicros = 1e8;

/** Number of requests by outcome. */
struct OutcomeCounts {
  uint64_t Sent = 0;
  uint64_t Good = 0;
  uint64_t NotRun = 0;
  uint64_t Unknown = 0;
  uint64_t TargetErrors = 0;

  /** Requests that got no response. */
  uint64_t Broken = 0;

  /** Requests that could not be sent. */
  uint64_t Refused = 0;

  /** Responses whose body does not repeat the request. */
  uint64_t Wrong = 0;

  /** Requests that were due while every connection to the node was busy. */
  uint64_t Skipped = 0;
};

namespace bh = boost::histogram; // NOLINT: customary alias

auto makeHistogram() {
  return bh::make_histogram(bh::axis::regular<double, bh::axis::transform::log>(
      HistogramBins, MinLatencyMicros, MaxLatencyMicros));
}

class CallerStandIn {
public:
  CallerStandIn()
      : OwnerTask({.Name = "caller", .MaxSockets = 8192}),
        TickTimer(OwnerTask, [this] { this->onTick(); }),
        LatencyMicros(makeHistogram()), OutcomeLog(FLAGS_log) {
    std::istringstream Stream(FLAGS_nodes);
    for (std::string NodeAddress; std::getline(Stream, NodeAddress, ',');) {
      const size_t Colon = NodeAddress.find(':');
      this->NodeClients.push_back(std::make_unique<HttpClient>(
          this->OwnerTask,
          HttpClientOptions{
              .Name = "caller-" + NodeAddress,
              .LocalIp = {},
              .Remote = {.Ip = Address(NodeAddress.substr(0, Colon)),
                         .Port = static_cast<int>(
                             parseNumber(NodeAddress.substr(Colon + 1), 80))},
              .SlotCount = static_cast<size_t>(FLAGS_callers),
              .MaxBodyBytes = MaxBodyBytes}));
    }
  }

  int run() {
    this->RunStart = Task::now();
    this->OwnerTask.post([this] { this->onTick(); });
    this->OwnerTask.run();
    std::cout << this->summary() << std::endl;
    return this->Outcomes.Wrong == 0 ? 0 : 1;
  }

private:
  double elapsed() const {
    return std::chrono::duration<double>(Task::now() - this->RunStart).count();
  }

  void onTick() {
    const double Now = this->elapsed();
    const bool TimeOver = Now >= FLAGS_seconds;
    while (!TimeOver && FLAGS_rate > 0 &&
           static_cast<double>(this->IssuedRequests) < Now * FLAGS_rate)
      this->issueRequest();
    while (!TimeOver && FLAGS_rate == 0 && this->hasFreeSlot())
      this->issueRequest();
    if (TimeOver && this->OpenRequests == 0)
      this->OwnerTask.stop();
    this->TickTimer.start(microseconds(500));
  }

  bool hasFreeSlot() const {
    const auto &Next =
        *this->NodeClients[this->IssuedRequests % this->NodeClients.size()];
    return Next.busySlots() < Next.slotCount();
  }

  void issueRequest() {
    const uint64_t Number = ++this->IssuedRequests;
    HttpClient &Client = *this->NodeClients[Number % this->NodeClients.size()];
    if (Client.busySlots() == Client.slotCount()) {
      this->Outcomes.Skipped += 1;
      return;
    }
    const bool IsPost =
        static_cast<int>(Number * 37 % 100) < FLAGS_post_percent;
    const std::string Id =
        std::to_string(getpid()) + "-" + std::to_string(Number);
    HttpRequest Request{.Method = IsPost ? "POST" : "GET",
                        .RequestTarget =
                            IsPost ? FLAGS_post : FLAGS_get + "?id=" + Id,
                        .Headers = {{"Host", "mesh"}}};
    if (IsPost) {
      Request.Body = "id=" + Id;
      Request.Headers.push_back({"content-type", "text/plain"});
      if (FLAGS_keys)
        Request.Headers.push_back({header::IdempotencyKey, Id});
    }
    this->Outcomes.Sent += 1;
    this->OpenRequests += 1;
    const TimePoint RequestStart = Task::now();
    Client.call(Request, milliseconds(FLAGS_timeout_ms),
                [this, Request, Id, RequestStart](const CallResult &Result) {
                  this->onDone(Request, Id, RequestStart, Result);
                });
  }

  void onDone(const HttpRequest &Request, const std::string &Id,
              TimePoint RequestStart, const CallResult &Result) {
    this->OpenRequests -= 1;
    const char *OutcomeName = this->classify(Request, Id, Result);
    if (Result.Outcome == CallOutcome::Answered &&
        Result.Response.Status == 200)
      this->LatencyMicros(
          static_cast<double>(toMicroseconds(Task::now() - RequestStart)));
    if (Request.Method == "POST" && this->OutcomeLog.is_open())
      this->OutcomeLog << Request.Body << ' ' << OutcomeName << '\n';
  }

  const char *classify(const HttpRequest &Request, const std::string &Id,
                       const CallResult &Result) {
    if (Result.Outcome == CallOutcome::NotSent) {
      this->Outcomes.Refused += 1;
      return "refused";
    }
    if (Result.Outcome == CallOutcome::NoResponse) {
      this->Outcomes.Broken += 1;
      return "broken";
    }
    const HttpResponse &Response = Result.Response;
    const auto Outcome = headerValue(Response.Headers, header::Outcome);
    if (Outcome == "not-run") {
      this->Outcomes.NotRun += 1;
      this->ReasonCounts[std::string(
          headerValue(Response.Headers, header::Reason))] += 1;
      return "not-run";
    }
    if (Outcome == "unknown") {
      this->Outcomes.Unknown += 1;
      this->ReasonCounts[std::string(
          headerValue(Response.Headers, header::Reason))] += 1;
      return "unknown";
    }
    if (Response.Status != 200) {
      this->Outcomes.TargetErrors += 1;
      return "error";
    }
    const std::string Expected =
        " " + Request.Method + " " + Request.RequestTarget + " " + Request.Body;
    const bool Matches = Response.Body.find(Expected) != std::string::npos &&
                         Response.Body.find(Id) != std::string::npos;
    this->Outcomes.Good += Matches ? 1 : 0;
    this->Outcomes.Wrong += Matches ? 0 : 1;
    return Matches ? "good" : "wrong";
  }

  double quantile(double Share) const {
    const double Total = bh::algorithm::sum(this->LatencyMicros);
    double Accumulated = 0;
    for (auto &&Bin : bh::indexed(this->LatencyMicros)) {
      Accumulated += *Bin;
      if (Total > 0 && Accumulated >= Share * Total)
        return Bin.bin().center();
    }
    return 0;
  }

  std::string summary() const {
    return nlohmann::json{{"sent", this->Outcomes.Sent},
                          {"good", this->Outcomes.Good},
                          {"not_run", this->Outcomes.NotRun},
                          {"unknown", this->Outcomes.Unknown},
                          {"target_errors", this->Outcomes.TargetErrors},
                          {"broken", this->Outcomes.Broken},
                          {"refused", this->Outcomes.Refused},
                          {"wrong", this->Outcomes.Wrong},
                          {"skipped", this->Outcomes.Skipped},
                          {"reasons", this->ReasonCounts},
                          {"seconds", this->elapsed()},
                          {"p50_us", this->quantile(0.5)},
                          {"p99_us", this->quantile(0.99)},
                          {"p999_us", this->quantile(0.999)}}
        .dump();
  }

  Task OwnerTask;
  Timer TickTimer;
  decltype(makeHistogram()) LatencyMicros;
  std::ofstream OutcomeLog;
  std::vector<std::unique_ptr<HttpClient>> NodeClients;
  std::map<std::string, uint64_t> ReasonCounts;
  OutcomeCounts Outcomes;
  TimePoint RunStart;
  uint64_t IssuedRequests = 0;
  uint64_t OpenRequests = 0;
};

} // namespace

} // namespace bluebellbarrow

int main(int ArgumentCount, char **Arguments) {
  gflags::ParseCommandLineFlags(&ArgumentCount, &Arguments, true);
  std::signal(SIGPIPE, SIG_IGN);
  bluebellbarrow::CallerStandIn StandIn;
  return StandIn.run();
}
