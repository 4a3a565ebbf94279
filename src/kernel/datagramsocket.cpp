#include "datagramsocket.h"

#include "task.h"

#include <libwebsockets.h>

#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace bluebellbarrow {

namespace {

constexpr size_t MaxDatagramBytes = 65536;
constexpr int ReceiveBufferBytes = 1024 * 1024;

int onEvent(lws *Wsi, lws_callback_reasons Reason, void *, void *, size_t) {
  if (Reason != LWS_CALLBACK_RAW_RX_FILE)
    return 0;
  auto *Socket =
      static_cast<DatagramSocket *>(lws_vhost_user(lws_get_vhost(Wsi)));
  if (Socket != nullptr)
    Socket->receiveAll();
  return 0;
}

const std::array<lws_protocols, 2> Protocols = {{
    {"datagrams", onEvent, 0, 0, 0, nullptr, 0},
    {nullptr, nullptr, 0, 0, 0, nullptr, 0},
}};

bool toSocketAddress(const DatagramPeer &Peer, sockaddr_in &Out) {
  Out = {};
  Out.sin_family = AF_INET;
  Out.sin_port = htons(static_cast<uint16_t>(Peer.Port));
  return inet_pton(AF_INET, Peer.Ip.str().c_str(), &Out.sin_addr) == 1;
}

} // namespace

DatagramSocket::DatagramSocket(Task &Owner, const Address &Ip, int Port,
                               Received OnReceived)
    : Owner(Owner), OnReceived(std::move(OnReceived)) {
  sockaddr_in Local{};
  if (!toSocketAddress({.Ip = Ip, .Port = Port}, Local))
    return;
  this->Descriptor =
      socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  setsockopt(this->Descriptor, SOL_SOCKET, SO_RCVBUF, &ReceiveBufferBytes,
             sizeof(ReceiveBufferBytes));
  if (bind(this->Descriptor, reinterpret_cast<const sockaddr *>(&Local),
           sizeof(Local)) != 0) {
    close(this->Descriptor);
    return;
  }
  lws_context_creation_info Info{};
  Info.port = CONTEXT_PORT_NO_LISTEN;
  Info.vhost_name = "datagrams";
  Info.protocols = Protocols.data();
  Info.user = this;
  this->Vhost = lws_create_vhost(this->Owner.context(), &Info);
  lws_sock_file_fd_type File{};
  File.filefd = this->Descriptor;
  this->Wsi = lws_adopt_descriptor_vhost(this->Vhost, LWS_ADOPT_RAW_FILE_DESC,
                                         File, "datagrams", nullptr);
}

DatagramSocket::~DatagramSocket() {
  if (this->Vhost != nullptr && !this->Owner.closed())
    lws_vhost_destroy(this->Vhost);
}

void DatagramSocket::send(const DatagramPeer &To, std::string_view Bytes) {
  sockaddr_in Remote{};
  if (!toSocketAddress(To, Remote))
    return;
  sendto(this->Descriptor, Bytes.data(), Bytes.size(), MSG_NOSIGNAL,
         reinterpret_cast<const sockaddr *>(&Remote), sizeof(Remote));
}

void DatagramSocket::receiveAll() {
  std::array<char, MaxDatagramBytes> Buffer;
  while (true) {
    sockaddr_in Remote{};
    socklen_t Length = sizeof(Remote);
    const ssize_t Received =
        recvfrom(this->Descriptor, Buffer.data(), Buffer.size(), 0,
                 reinterpret_cast<sockaddr *>(&Remote), &Length);
    if (Received < 0)
      return;
    std::array<char, INET_ADDRSTRLEN> Name{};
    inet_ntop(AF_INET, &Remote.sin_addr, Name.data(), Name.size());
    this->OnReceived(
        {.Ip = Address(Name.data()), .Port = ntohs(Remote.sin_port)},
        {Buffer.data(), static_cast<size_t>(Received)});
  }
}

} // namespace bluebellbarrow
