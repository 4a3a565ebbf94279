#include "controlcodec.h"

#include "kernel/compression.h"
#include "kernel/wirearchive.h"

namespace bluebellbarrow {

namespace {

constexpr uint8_t HelloKind = 0xf0;

/** Bit of the frame kind that marks a compressed body. */
constexpr uint8_t CompressedFlag = 0x40;

/** Minimum size of a body that is compressed. */
constexpr size_t MinCompressedBytes = 400;

template <typename T>
std::optional<ControlMessage> decodeAs(const std::string &Body) {
  T Message;
  if (!decode(Body, Message))
    return std::nullopt;
  if constexpr (requires { Message.Kind; })
    if (static_cast<size_t>(Message.Kind) >= ResourceKindCount)
      return std::nullopt;
  return ControlMessage(std::move(Message));
}

template <size_t... Index>
std::optional<ControlMessage> decodeKind(const Frame &Value,
                                         std::index_sequence<Index...>) {
  std::optional<ControlMessage> Message;
  ((Value.Kind == Index
        ? void(Message =
                   decodeAs<std::variant_alternative_t<Index, ControlMessage>>(
                       Value.Body))
        : void()),
   ...);
  return Message;
}

bool isKnown(MemberState State) { return State <= MemberState::Gone; }

} // namespace

Frame toFrame(const ControlMessage &Message) {
  Frame Value{
      .Kind = static_cast<uint8_t>(Message.index()),
      .Body = std::visit([](const auto &Payload) { return encode(Payload); },
                         Message)};
  if (Value.Body.size() < MinCompressedBytes)
    return Value;
  return {.Kind = static_cast<uint8_t>(Value.Kind | CompressedFlag),
          .Body = zlibCompress(Value.Body)};
}

std::optional<ControlMessage> fromFrame(const Frame &Value) {
  constexpr auto Kinds =
      std::make_index_sequence<std::variant_size_v<ControlMessage>>();
  if ((Value.Kind & CompressedFlag) == 0)
    return decodeKind(Value, Kinds);
  std::optional<std::string> Body =
      zlibDecompress(Value.Body, MaxControlFrameBytes);
  if (!Body)
    return std::nullopt;
  return decodeKind({.Kind = static_cast<uint8_t>(Value.Kind & ~CompressedFlag),
                     .Body = std::move(*Body)},
                    Kinds);
}

Frame makeHelloFrame(MeshId Mesh) {
  return {.Kind = HelloKind, .Body = encode(Mesh)};
}

bool isHello(const Frame &Value, MeshId Mesh) {
  MeshId PeerMesh;
  return Value.Kind == HelloKind && decode(Value.Body, PeerMesh) &&
         PeerMesh == Mesh;
}

std::string toDatagram(const DigestMessage &Message) { return encode(Message); }

std::optional<DigestMessage> fromDatagram(std::string_view Bytes) {
  DigestMessage Message;
  if (!decode(Bytes, Message) || !isKnown(Message.Sender.State))
    return std::nullopt;
  for (const MemberAnnouncement &Announcement : Message.Announcements)
    if (!isKnown(Announcement.State))
      return std::nullopt;
  return Message;
}

} // namespace bluebellbarrow
