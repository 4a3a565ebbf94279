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

/** The task that answers operators: metrics, status and the audit trail. */
class AdminPlugin : public NodePlugin {
public:
  explicit AdminPlugin(NodeContext &Context)
      : Context(Context), Owner({.Name = "admin", .MaxSockets = 128}),
        Server(Owner,
               {.Name = "admin",
                .Ip = Context.Settings.AdminIp,
                .Port = Context.Settings.AdminPort,
                .MaxBodyBytes = MaxRequestBytes},
               {.Requested =
                    [this](ExchangeId Id, const HttpRequest &Request,
                           const Address &) { this->answer(Id, Request); },
                .Aborted = [](ExchangeId) {},
                .Malformed =
                    [this](const Error &Failure) {
                      logError(LogLevel::Warning, Failure);
                      this->Context.Counters.add(Metric::Malformed, "admin");
                    }}),
        Trail(MaxAuditEntries) {
    Context.Counters.set(Metric::Incarnation, "",
                         static_cast<double>(Context.Life.value()));
  }

  Result<std::monostate> prepare() override {
    const NodeSettings &Settings = this->Context.Settings;
    if (!this->Server.listening())
      return makeError(Errc::Unreachable, "listen for operators",
                       Settings.AdminIp.str() + ":" +
                           std::to_string(Settings.AdminPort),
                       "the port can't be bound");
    NodeBus &Bus = this->Context.Bus;
    Bus.Audit.subscribe(this->Owner, [this](const AuditEvent &Event) {
      this->Trail.add(Event, std::chrono::system_clock::now());
    });
    Bus.Status.subscribe(this->Owner, [this](const ControlStatus &Status) {
      this->Status = Status;
    });
    return std::monostate();
  }

  void start() override { this->Owner.start(); }

  void stop() override {
    this->Owner.stop();
    this->Owner.join();
  }

private:
  void answer(ExchangeId Id, const HttpRequest &Request) {
    const std::string Path = pathOf(Request.Target);
    HttpResponse Response{.Status = 200};
    Response.Headers = {{"content-type", "application/json"}};
    if (Path == "/metrics") {
      Response.Headers = {{"content-type", "text/plain; version=0.0.4"}};
      Response.Body = this->Context.Counters.text();
    } else if (Path == "/status") {
      Response.Body = this->statusJson();
    } else if (Path == "/audit") {
      Response.Body = this->Trail.json();
    } else {
      Response.Status = 404;
      Response.Body = R"({"error":"expected /metrics, /status or /audit"})";
    }
    this->Server.respond(Id, std::move(Response));
  }

  std::string statusJson() const {
    const NodeSettings &Settings = this->Context.Settings;
    const ControlStatus &Known = this->Status;
    Json Refused = Json::array();
    for (const auto &[Version, Reason] : Known.Refused)
      Refused.push_back({{"version", Version.text()}, {"reason", Reason}});
    const auto AppliedAt =
        std::chrono::duration_cast<std::chrono::microseconds>(
            Known.AppliedAt.time_since_epoch());
    Json Status = {{"mesh", Settings.Mesh},
                   {"name", Settings.Name.str()},
                   {"domain", Settings.Domain.str()},
                   {"service", Settings.Service.str()},
                   {"state", memberStateName(Known.State)},
                   {"version", Known.Config.Number.value()},
                   {"digest", Known.Config.Hash.str()},
                   {"applied_us", AppliedAt.count()},
                   {"vm_list", Known.VmList.Number.value()},
                   {"settled", Known.Settled},
                   {"rank", Known.Rank},
                   {"nodes", Known.Nodes},
                   {"incarnation", this->Context.Life.value()},
                   {"refused", Refused}};
    if (Known.PlatformAge)
      Status["platform_age_ms"] = toMilliseconds(*Known.PlatformAge);
    return Status.dump();
  }

  NodeContext &Context;
  Task Owner;
  HttpServer Server;
  AuditTrail Trail;
  ControlStatus Status;
};

const NodePluginRegistry::Registration<AdminPlugin> Registered("admin");

} // namespace

} // namespace bluebellbarrow
