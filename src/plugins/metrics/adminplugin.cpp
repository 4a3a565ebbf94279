#include "kernel/httpserver.h"
#include "metrics.h"
#include "plugins/audit/audittrail.h"
#include "plugins/nodeplugin.h"

#include <nlohmann/json.hpp>

namespace bluebellbarrow {

namespace {

constexpr size_t MaxAuditEntries = 1000;
constexpr size_t MaxRequestBytes = 4096;

using Json = nlohmann::json;

/** Serves metrics, status, the audit trail and readiness over HTTP. */
class AdminPlugin : public NodePlugin {
public:
  explicit AdminPlugin(NodeContext &Context)
      : Context(Context),
        Owner(Context.Tasks.taskFor({.Name = "admin", .MaxSockets = 128})),
        Trail(MaxAuditEntries) {
    this->listenOn(Context.Settings.AdminEndpoint);
    if (Context.Settings.ReadyEndpoint)
      this->listenOn(*Context.Settings.ReadyEndpoint);
    Context.NodeMetrics.set(Metric::Incarnation, "",
                            static_cast<double>(Context.Incarnation.value()));
  }

  Result<std::monostate> prepare() override {
    for (const auto &Server : this->Servers)
      if (!Server->isListening())
        return makeError(
            Errc::Unreachable, "listen for admin requests", "",
            "cannot bind the address of listen/admin or listen/ready");
    NodeBus &Bus = this->Context.Bus;
    Bus.Audit.subscribe(this->Owner, [this](const AuditEvent &Event) {
      this->Trail.add(Event, std::chrono::system_clock::now());
    });
    Bus.Shutdown.subscribe(this->Owner, [this](const ShutdownMessage &) {
      this->Stopping = true;
    });
    Bus.Status.subscribe(this->Owner, [this](const ControlStatus &Status) {
      this->Status = Status;
    });
    return std::monostate();
  }

private:
  void listenOn(const Endpoint &Local) {
    const size_t Index = this->Servers.size();
    this->Servers.push_back(std::make_unique<HttpServer>(
        this->Owner,
        HttpServerOptions{
            .Name = "admin",
            .Local = Local,
            .Limits = {.MessageLimits = {.MaxBodyBytes = MaxRequestBytes}}},
        HttpServerEvents{
            .RequestReceived =
                [this, Index](ExchangeId Id, const HttpRequest &Request,
                              TimePoint) {
                  this->Servers[Index]->respond(Id,
                                                this->makeResponse(Request));
                },
            .Aborted = [](ExchangeId) {},
            .Malformed =
                [this](const Error &Failure) {
                  logError(LogLevel::Warning, Failure);
                  this->Context.NodeMetrics.add(Metric::Malformed, "admin");
                }}));
  }

  HttpResponse makeResponse(const HttpRequest &Request) const {
    const std::string Path = extractPath(Request.RequestTarget);
    HttpResponse Response{.Status = 200};
    Response.Headers = {{"content-type", "application/json"}};
    if (Path == "/metrics") {
      Response.Headers = {{"content-type", "text/plain; version=0.0.4"}};
      Response.Body = this->Context.NodeMetrics.toPrometheusText();
    } else if (Path == "/status") {
      Response.Body = this->statusJson();
    } else if (Path == "/audit") {
      Response.Body = this->Trail.toJson();
    } else if (Path == "/ready") {
      Response.Status = this->isReady() ? 200 : 503;
    } else {
      Response.Status = 404;
      Response.Body =
          R"({"error":"expected /metrics, /status, /audit or /ready"})";
    }
    return Response;
  }

  /**
   * Returns true while callers can be served: the node is not stopping, and it
   * has a configuration and a VM list.
   */
  bool isReady() const {
    return !this->Stopping && !this->Status.ConfigVersion.isNone() &&
           !this->Status.VmListVersion.isNone();
  }

  static int64_t unixMicros(std::chrono::system_clock::time_point Time) {
    return std::chrono::duration_cast<std::chrono::microseconds>(
               Time.time_since_epoch())
        .count();
  }

  std::string statusJson() const {
    const NodeSettings &Settings = this->Context.Settings;
    const ControlStatus &Control = this->Status;
    Json RefusedVersionsJson = Json::array();
    for (const auto &[Version, Reason] : Control.RefusedVersions)
      RefusedVersionsJson.push_back(
          {{"version", Version.text()}, {"reason", Reason}});
    Json EvacuatedJson = Json::array();
    for (const auto &[Domain, Since] : Control.EvacuatedSince)
      EvacuatedJson.push_back(
          {{"domain", Domain.str()}, {"since_us", unixMicros(Since)}});
    Json Status = {{"mesh", Settings.Mesh},
                   {"name", Settings.Name.str()},
                   {"domain", Settings.Domain.str()},
                   {"service", Settings.Service.str()},
                   {"state", memberStateName(Control.State)},
                   {"version", Control.ConfigVersion.Number.value()},
                   {"digest", Control.ConfigVersion.Hash.str()},
                   {"applied_us", unixMicros(Control.AppliedAt)},
                   {"vm_list", Control.VmListVersion.Number.value()},
                   {"settled", Control.Bootstrapped},
                   {"ready", this->isReady()},
                   {"rank", Control.DomainRank},
                   {"nodes", Control.NodeCount},
                   {"incarnation", this->Context.Incarnation.value()},
                   {"refused", RefusedVersionsJson},
                   {"evacuated", EvacuatedJson}};
    if (Control.PlatformAge)
      Status["platform_age_ms"] = toMilliseconds(*Control.PlatformAge);
    return Status.dump();
  }

  NodeContext &Context;
  Task &Owner;
  std::vector<std::unique_ptr<HttpServer>> Servers;
  AuditTrail Trail;
  ControlStatus Status;
  bool Stopping = false;
};

const NodePluginRegistry::Registration<AdminPlugin> Registered("admin");

} // namespace

} // namespace bluebellbarrow
