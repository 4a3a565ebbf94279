#include "fleetclient.h"

#include "kernel/datagramsocket.h"
#include "kernel/frametransport.h"
#include "kernel/hashing.h"
#include "kernel/task.h"
#include "plugins/spread/controlcodec.h"
#include "plugins/spread/versionstore.h"

namespace bluebellbarrow {

namespace {

constexpr size_t MaxQueuedBytes = size_t{1024} * 1024;
constexpr Duration SendPeriod = milliseconds(10);
constexpr size_t SendsInPeriod = 40;
constexpr Duration BusyRetry = milliseconds(200);

/** Takes one VM list over one stream. */
class ListPull {
public:
  ListPull(const std::string &Mesh, const Address &Peer, int Port)
      : Owner({.Name = "client", .MaxSockets = 64}),
        Streams(
            Owner,
            {.Name = "list",
             .LocalIp = Address(),
             .ListenPort = 0,
             .MaxFrameBytes = MaxControlFrameBytes,
             .MaxQueuedBytes = MaxQueuedBytes},
            {.Accepted = [](StreamId, const Address &) {},
             .Connected = [](StreamId) {},
             .Received = [this](StreamId,
                                const Frame &Value) { this->onFrame(Value); },
             .Closed = [this](StreamId) { this->Owner.stop(); },
             .Malformed = [](StreamId, const Error &) {}}),
        Limit(Owner, [this] { this->Owner.stop(); }),
        Retry(Owner, [this] { this->pull(); }) {
    this->Stream = this->Streams.connect(Peer, Port);
    this->Streams.send(this->Stream, makeHelloFrame(computeMeshId(Mesh)));
    this->pull();
  }

  std::optional<FullVersionPtr> run(Duration MaxTime) {
    this->Limit.start(MaxTime);
    this->Owner.run();
    return this->Found;
  }

private:
  void pull() {
    this->Streams.send(this->Stream,
                       toFrame(PullMessage{.Kind = ResourceKind::VmList}));
  }

  void onFrame(const Frame &Value) {
    const std::optional<ControlMessage> Message = fromFrame(Value);
    if (Message && std::holds_alternative<BusyMessage>(*Message))
      this->Retry.start(BusyRetry);
    const auto *Transfer =
        Message ? std::get_if<TransferMessage>(&*Message) : nullptr;
    if (Transfer == nullptr)
      return;
    const auto Version = VersionStore(ResourceKind::VmList).rebuild(*Transfer);
    if (Version)
      this->Found = Version.value();
    this->Owner.stop();
  }

  Task Owner;
  FrameTransport Streams;
  Timer Limit;
  Timer Retry;
  StreamId Stream;
  std::optional<FullVersionPtr> Found;
};

/** Sends each node a question and collects the answers. */
class Survey {
public:
  Survey(const std::string &Mesh, const std::vector<Vm> &Nodes, int Port)
      : Mesh(computeMeshId(Mesh)), Nodes(Nodes), Port(Port),
        Owner({.Name = "client", .MaxSockets = 64}),
        Socket(Owner, {.Ip = Address("0.0.0.0"), .Port = 0},
               [this](const Endpoint &From, std::string_view Bytes) {
                 this->onAnswer(From.Ip, Bytes);
               }),
        Send(Owner, [this] { this->sendSome(); }),
        Limit(Owner, [this] { this->Owner.stop(); }) {}

  std::map<Address, DigestMessage> run(Duration MaxTime) {
    this->Limit.start(MaxTime);
    this->Owner.post([this] { this->sendSome(); });
    this->Owner.run();
    return this->Answers;
  }

private:
  void sendSome() {
    const std::string Question = toDatagram(
        {.Mesh = this->Mesh, .Purpose = DigestPurpose::Query, .Versions = {}});
    for (size_t Count = 0;
         Count < SendsInPeriod && this->Next < this->Nodes.size(); ++Count)
      this->Socket.send({this->Nodes[this->Next++].Ip, this->Port}, Question);
    if (this->Next < this->Nodes.size())
      this->Send.start(SendPeriod);
  }

  void onAnswer(const Address &From, std::string_view Bytes) {
    const std::optional<DigestMessage> Message = fromDatagram(Bytes);
    if (!Message || Message->Mesh != this->Mesh)
      return;
    this->Answers[From] = *Message;
    if (this->Answers.size() == this->Nodes.size())
      this->Owner.stop();
  }

  MeshId Mesh;
  const std::vector<Vm> &Nodes;
  int Port;
  Task Owner;
  DatagramSocket Socket;
  Timer Send;
  Timer Limit;
  size_t Next = 0;
  std::map<Address, DigestMessage> Answers;
};

} // namespace

FleetClient::FleetClient(std::string Mesh, Address Peer, int ControlPort)
    : Mesh(std::move(Mesh)), Peer(std::move(Peer)), ControlPort(ControlPort) {}

Result<std::vector<Vm>> FleetClient::fetchVms(Duration Limit) {
  ListPull Pull(this->Mesh, this->Peer, this->ControlPort);
  const auto List = Pull.run(Limit);
  if (!List)
    return makeError(Errc::Unreachable, "pull VM list", this->Peer.str(),
                     "no answer; is that a node of mesh '" + this->Mesh + "'?");
  std::vector<Vm> Nodes;
  for (const ManifestEntry &Each : (*List)->Content.Entries) {
    const auto Vms = parseVmPart(Each.Path, (*List)->partText(Each.Path));
    if (!Vms)
      return Vms.error();
    Nodes.insert(Nodes.end(), Vms.value().begin(), Vms.value().end());
  }
  return Nodes;
}

std::vector<NodeReport> FleetClient::pollNodes(const std::vector<Vm> &Nodes,
                                               Duration Limit) {
  std::vector<NodeReport> Reports;
  if (Nodes.empty())
    return Reports;
  Survey Questions(this->Mesh, Nodes, this->ControlPort);
  const auto Answers = Questions.run(Limit);
  for (const Vm &Each : Nodes) {
    const auto Said = Answers.find(Each.Ip);
    Reports.push_back({.Node = Each, .Answer = std::nullopt});
    if (Said != Answers.end())
      Reports.back().Answer = Said->second;
  }
  return Reports;
}

} // namespace bluebellbarrow
