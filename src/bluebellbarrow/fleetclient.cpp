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
constexpr size_t MaxSendsPerPeriod = 40;
constexpr Duration BusyRetryDelay = milliseconds(200);

/** Fetches one VM list over a control stream. */
class VmListRequest {
public:
  VmListRequest(const std::string &Mesh, const Address &Peer, int Port)
      : Owner({.Name = "client", .MaxSockets = 64}),
        Transport(Owner,
                  {.Name = "list",
                   .LocalIp = Address(),
                   .ListenPort = 0,
                   .MaxFrameBytes = MaxControlFrameBytes,
                   .MaxQueuedBytes = MaxQueuedBytes},
                  {.Accepted = [](StreamId, const Address &) {},
                   .Connected = [](StreamId) {},
                   .Received =
                       [this](StreamId, const Frame &Incoming) {
                         this->onFrame(Incoming);
                       },
                   .Closed = [this](StreamId) { this->Owner.stop(); },
                   .Malformed = [](StreamId, const Error &) {}}),
        TimeoutTimer(Owner, [this] { this->Owner.stop(); }),
        RetryTimer(Owner, [this] { this->requestList(); }) {
    this->Stream = this->Transport.connect(Peer, Port);
    this->Transport.send(this->Stream, makeHelloFrame(computeMeshId(Mesh)));
    this->requestList();
  }

  std::optional<FullVersionPtr> run(Duration Timeout) {
    this->TimeoutTimer.start(Timeout);
    this->Owner.run();
    return this->Fetched;
  }

private:
  void requestList() {
    this->Transport.send(this->Stream,
                         toFrame(PullMessage{.Kind = ResourceKind::VmList}));
  }

  void onFrame(const Frame &Incoming) {
    const std::optional<ControlMessage> Message = fromFrame(Incoming);
    if (Message && std::holds_alternative<BusyMessage>(*Message))
      this->RetryTimer.start(BusyRetryDelay);
    const auto *Transfer =
        Message ? std::get_if<TransferMessage>(&*Message) : nullptr;
    if (Transfer == nullptr)
      return;
    const auto Version = VersionStore(ResourceKind::VmList).rebuild(*Transfer);
    if (Version)
      this->Fetched = Version.value();
    this->Owner.stop();
  }

  Task Owner;
  FrameTransport Transport;
  Timer TimeoutTimer;
  Timer RetryTimer;
  StreamId Stream;
  std::optional<FullVersionPtr> Fetched;
};

/** Sends each node a digest query and collects the responses. */
class DigestPoll {
public:
  DigestPoll(const std::string &Mesh, const std::vector<Vm> &Nodes, int Port)
      : Mesh(computeMeshId(Mesh)), Nodes(Nodes), Port(Port),
        Owner({.Name = "client", .MaxSockets = 64}),
        Socket(Owner, {.Ip = Address("0.0.0.0"), .Port = 0},
               [this](const Endpoint &Sender, std::string_view Bytes) {
                 this->onResponse(Sender.Ip, Bytes);
               }),
        SendTimer(Owner, [this] { this->sendBatch(); }),
        TimeoutTimer(Owner, [this] { this->Owner.stop(); }) {}

  std::map<Address, DigestMessage> run(Duration Timeout) {
    this->TimeoutTimer.start(Timeout);
    this->Owner.post([this] { this->sendBatch(); });
    this->Owner.run();
    return this->Responses;
  }

private:
  void sendBatch() {
    const std::string Query = toDatagram(
        {.Mesh = this->Mesh, .Purpose = DigestPurpose::Query, .Versions = {}});
    for (size_t Count = 0;
         Count < MaxSendsPerPeriod && this->NextNode < this->Nodes.size();
         ++Count)
      this->Socket.send({this->Nodes[this->NextNode++].Ip, this->Port}, Query);
    if (this->NextNode < this->Nodes.size())
      this->SendTimer.start(SendPeriod);
  }

  void onResponse(const Address &Sender, std::string_view Bytes) {
    const std::optional<DigestMessage> Message = fromDatagram(Bytes);
    if (!Message || Message->Mesh != this->Mesh)
      return;
    this->Responses[Sender] = *Message;
    if (this->Responses.size() == this->Nodes.size())
      this->Owner.stop();
  }

  MeshId Mesh;
  const std::vector<Vm> &Nodes;
  int Port;
  Task Owner;
  DatagramSocket Socket;
  Timer SendTimer;
  Timer TimeoutTimer;
  size_t NextNode = 0;
  std::map<Address, DigestMessage> Responses;
};

} // namespace

FleetClient::FleetClient(std::string Mesh, Address Peer, int ControlPort)
    : Mesh(std::move(Mesh)), Peer(std::move(Peer)), ControlPort(ControlPort) {}

Result<FetchedList> FleetClient::fetchList(Duration Timeout) {
  VmListRequest Request(this->Mesh, this->Peer, this->ControlPort);
  const auto List = Request.run(Timeout);
  if (!List)
    return makeError(
        Errc::Unreachable, "fetch VM list", this->Peer.str(),
        "no VM list received; check that --peer is a node of mesh '" +
            this->Mesh + "'");
  return FetchedList{.Version = (*List)->Id,
                     .Content = parseVmParts((*List)->Content, (*List)->Parts)};
}

Result<std::vector<Vm>> FleetClient::fetchVms(Duration Timeout) {
  Result<FetchedList> List = this->fetchList(Timeout);
  if (!List)
    return List.error();
  return std::move(List.value().Content.Vms);
}

std::vector<NodeReport> FleetClient::pollNodes(const std::vector<Vm> &Nodes,
                                               Duration Timeout) {
  std::vector<NodeReport> Reports;
  if (Nodes.empty())
    return Reports;
  DigestPoll Poll(this->Mesh, Nodes, this->ControlPort);
  const auto Responses = Poll.run(Timeout);
  for (const Vm &Node : Nodes) {
    const auto Found = Responses.find(Node.Ip);
    Reports.push_back({.Node = Node, .Response = std::nullopt});
    if (Found != Responses.end())
      Reports.back().Response = Found->second;
  }
  return Reports;
}

} // namespace bluebellbarrow
