#include "controlcodec.h"

#include "kernel/compression.h"
#include "kernel/wirearchive.h"

namespace bluebellbarrow {

namespace {

constexpr uint8_t GreetingKind = 0xf0;

/** Marks the kind of a frame whose body is compressed. */
constexpr uint8_t CompressedFlag = 0x40;

/** Length from which on a body is worth compressing. */
constexpr size_t LeastCompressed = 400;

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
  Frame Value{.Kind = static_cast<uint8_t>(Message.index()),
              .Body = std::visit([](const auto &Each) { return encode(Each); },
                                 Message)};
  if (Value.Body.size() < LeastCompressed)
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
  return {.Kind = GreetingKind, .Body = encode(Mesh)};
}

bool isHello(const Frame &Value, MeshId Mesh) {
  MeshId Theirs;
  return Value.Kind == GreetingKind && decode(Value.Body, Theirs) &&
         Theirs == Mesh;
}

std::string toDatagram(const DigestMessage &Message) { return encode(Message); }

std::optional<DigestMessage> fromDatagram(std::string_view Bytes) {
  DigestMessage Message;
  if (!decode(Bytes, Message) || !isKnown(Message.Sender.State))
    return std::nullopt;
  for (const MemberAnnouncement &Announced : Message.Announcements)
    if (!isKnown(Announced.State))
      return std::nullopt;
  return Message;
}

} // namespace bluebellbarrow
