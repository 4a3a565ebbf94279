/**
 * \file
 * Stand-in for callers: sends requests at a steady rate to some nodes, checks
 * that each answer is whole and belongs to its request, and prints a summary.
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

DEFINE_string(nodes, "", "addresses of nodes with port, with commas");
DEFINE_double(rate, 100, "requests per second; 0 for as fast as they end");
DEFINE_double(seconds, 5, "time to run");
DEFINE_int32(callers, 16, "connections to each node");
DEFINE_string(get, "", "path for idempotent requests");
DEFINE_string(post, "", "path for non-idempotent requests");
DEFINE_int32(post_percent, 0, "share of non-idempotent requests");
DEFINE_bool(keys, false, "send an Idempotency-Key with each POST");
DEFINE_int32(timeout_ms, 5000, "time to wait for an answer");
DEFINE_string(log, "", "file for one line per POST: its body and outcome");

namespace bluebellbarrow {

namespace {

constexpr size_t MaxBodyBytes = size_t{4} * 1024 * 1024;
constexpr size_t HistogramBins = 20000;
constexpr double ShortestMicros = 10;
constexpr double LongestMicros = 1e8;

/** How the requests ended. */
struct Totals {
  uint64_t Sent = 0;
  uint64_t Good = 0;
  uint64_t NotRun = 0;
  uint64_t Unknown = 0;
  uint64_t TargetErrors = 0;
  uint64_t Broken = 0;
  uint64_t Refused = 0;
  uint64_t Wrong = 0;
  uint64_t Skipped = 0;
};

namespace bh = boost::histogram; // NOLINT: customary alias

auto makeHistogram() {
  return bh::make_histogram(bh::axis::regular<double, bh::axis::transform::log>(
      HistogramBins, ShortestMicros, LongestMicros));
}

class CallerStandIn {
public:
  CallerStandIn()
      : Owner({.Name = "caller", .MaxSockets = 8192}),
        Tick(Owner, [this] { this->onTick(); }), Latency(makeHistogram()),
        Log(FLAGS_log) {
    std::istringstream Stream(FLAGS_nodes);
    for (std::string Each; std::getline(Stream, Each, ',');) {
      const size_t Colon = Each.find(':');
      this->Nodes.push_back(std::make_unique<HttpClient>(
          this->Owner,
          HttpClientOptions{.Name = "caller-" + Each,
                            .LocalIp = {},
                            .Remote = {.Ip = Address(Each.substr(0, Colon)),
                                       .Port = static_cast<int>(toNumber(
                                           Each.substr(Colon + 1), 80))},
                            .SlotCount = static_cast<size_t>(FLAGS_callers),
                            .MaxBodyBytes = MaxBodyBytes}));
    }
  }

  int run() {
    this->Start = Task::now();
    this->Owner.post([this] { this->onTick(); });
    this->Owner.run();
    std::cout << this->summary() << std::endl;
    return this->Sum.Wrong == 0 ? 0 : 1;
  }

private:
  double elapsed() const {
    return std::chrono::duration<double>(Task::now() - this->Start).count();
  }

  void onTick() {
    const double Now = this->elapsed();
    const bool Over = Now >= FLAGS_seconds;
    while (!Over && FLAGS_rate > 0 &&
           static_cast<double>(this->Issued) < Now * FLAGS_rate)
      this->issue();
    while (!Over && FLAGS_rate == 0 && this->hasFreeSlot())
      this->issue();
    if (Over && this->Open == 0)
      this->Owner.stop();
    this->Tick.start(microseconds(500));
  }

  bool hasFreeSlot() const {
    const auto &Next = *this->Nodes[this->Issued % this->Nodes.size()];
    return Next.busySlots() < Next.slotCount();
  }

  void issue() {
    const uint64_t Number = ++this->Issued;
    HttpClient &Node = *this->Nodes[Number % this->Nodes.size()];
    if (Node.busySlots() == Node.slotCount()) {
      this->Sum.Skipped += 1;
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
    this->Sum.Sent += 1;
    this->Open += 1;
    const TimePoint Began = Task::now();
    Node.call(Request, milliseconds(FLAGS_timeout_ms),
              [this, Request, Id, Began](const CallResult &Result) {
                this->onDone(Request, Id, Began, Result);
              });
  }

  void onDone(const HttpRequest &Request, const std::string &Id,
              TimePoint Began, const CallResult &Result) {
    this->Open -= 1;
    const char *Name = this->classify(Request, Id, Result);
    if (Result.Outcome == CallOutcome::Answered &&
        Result.Response.Status == 200)
      this->Latency(static_cast<double>(toMicroseconds(Task::now() - Began)));
    if (Request.Method == "POST" && this->Log.is_open())
      this->Log << Request.Body << ' ' << Name << '\n';
  }

  const char *classify(const HttpRequest &Request, const std::string &Id,
                       const CallResult &Result) {
    if (Result.Outcome == CallOutcome::NotSent) {
      this->Sum.Refused += 1;
      return "refused";
    }
    if (Result.Outcome == CallOutcome::NoResponse) {
      this->Sum.Broken += 1;
      return "broken";
    }
    const HttpResponse &Response = Result.Response;
    const auto Outcome = headerValue(Response.Headers, header::Outcome);
    if (Outcome == "not-run") {
      this->Sum.NotRun += 1;
      this->Reasons[std::string(
          headerValue(Response.Headers, header::Reason))] += 1;
      return "not-run";
    }
    if (Outcome == "unknown") {
      this->Sum.Unknown += 1;
      this->Reasons[std::string(
          headerValue(Response.Headers, header::Reason))] += 1;
      return "unknown";
    }
    if (Response.Status != 200) {
      this->Sum.TargetErrors += 1;
      return "error";
    }
    const std::string Expected =
        " " + Request.Method + " " + Request.RequestTarget + " " + Request.Body;
    const bool Mine = Response.Body.find(Expected) != std::string::npos &&
                      Response.Body.find(Id) != std::string::npos;
    this->Sum.Good += Mine ? 1 : 0;
    this->Sum.Wrong += Mine ? 0 : 1;
    return Mine ? "good" : "wrong";
  }

  double quantile(double Share) const {
    const double Total = bh::algorithm::sum(this->Latency);
    double Seen = 0;
    for (auto &&Bin : bh::indexed(this->Latency)) {
      Seen += *Bin;
      if (Total > 0 && Seen >= Share * Total)
        return Bin.bin().center();
    }
    return 0;
  }

  std::string summary() const {
    return nlohmann::json{{"sent", this->Sum.Sent},
                          {"good", this->Sum.Good},
                          {"not_run", this->Sum.NotRun},
                          {"unknown", this->Sum.Unknown},
                          {"target_errors", this->Sum.TargetErrors},
                          {"broken", this->Sum.Broken},
                          {"refused", this->Sum.Refused},
                          {"wrong", this->Sum.Wrong},
                          {"skipped", this->Sum.Skipped},
                          {"reasons", this->Reasons},
                          {"seconds", this->elapsed()},
                          {"p50_us", this->quantile(0.5)},
                          {"p99_us", this->quantile(0.99)},
                          {"p999_us", this->quantile(0.999)}}
        .dump();
  }

  Task Owner;
  Timer Tick;
  decltype(makeHistogram()) Latency;
  std::ofstream Log;
  std::vector<std::unique_ptr<HttpClient>> Nodes;
  std::map<std::string, uint64_t> Reasons;
  Totals Sum;
  TimePoint Start;
  uint64_t Issued = 0;
  uint64_t Open = 0;
};

} // namespace

} // namespace bluebellbarrow

int main(int Count, char **Arguments) {
  gflags::ParseCommandLineFlags(&Count, &Arguments, true);
  std::signal(SIGPIPE, SIG_IGN);
  bluebellbarrow::CallerStandIn StandIn;
  return StandIn.run();
}
