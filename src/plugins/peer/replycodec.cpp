#include "replycodec.h"

#include "peercodec.h"

#include <utility>

namespace bluebellbarrow {

namespace {

/** Start of the frame of a reply. */
struct ReplyPrefix {
  /** Length of the message without its body. */
  uint32_t MessageBytes = 0;

  static constexpr size_t EncodedBytes = sizeof(uint32_t);

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->MessageBytes);
  }
};

bool isReply(const Frame &Encoded) {
  return Encoded.Kind == static_cast<uint8_t>(PeerFrameKind::Reply);
}

/** Returns the bytes of the message without its body; nothing if malformed. */
std::optional<std::string> messagePart(const Frame &Encoded) {
  constexpr size_t PrefixBytes = ReplyPrefix::EncodedBytes;
  ReplyPrefix Prefix;
  if (!isReply(Encoded) ||
      !decode(Encoded.Body.substr(0, PrefixBytes), Prefix) ||
      Prefix.MessageBytes > Encoded.Body.size() - PrefixBytes)
    return std::nullopt;
  return Encoded.Body.substr(PrefixBytes, Prefix.MessageBytes);
}

} // namespace

Frame encodeReply(ReplyMessage Message) {
  std::string Body;
  Body.swap(Message.Response.Body);
  const std::string Encoded = encode(Message);
  const ReplyPrefix Prefix{.MessageBytes =
                               static_cast<uint32_t>(Encoded.size())};
  Body.insert(0, encode(Prefix) + Encoded);
  return {.Kind = static_cast<uint8_t>(PeerFrameKind::Reply),
          .Body = std::move(Body)};
}

std::optional<ReplyMessage> decodeReply(Frame &Encoded) {
  const std::optional<std::string> Part = messagePart(Encoded);
  ReplyMessage Message;
  if (!Part || !decode(*Part, Message) || !Message.Response.Body.empty())
    return std::nullopt;
  if (Message.Result == Outcome::Answered &&
      !isFinalStatus(Message.Response.Status))
    return ReplyMessage{.Number = Message.Number,
                        .Reason = "reply with an invalid status",
                        .ReachedTarget = true,
                        .Load = Message.Load};
  Message.Response.Body.swap(Encoded.Body);
  Message.Response.Body.erase(0, ReplyPrefix::EncodedBytes + Part->size());
  return Message;
}

std::optional<RequestNumber> decodeReplyNumber(const Frame &Start) {
  NumberPrefix Number;
  if (!isReply(Start) || Start.Body.size() < ReplyPrefix::EncodedBytes ||
      !decode(Start.Body.substr(ReplyPrefix::EncodedBytes,
                                NumberPrefix::EncodedBytes),
              Number))
    return std::nullopt;
  return Number.Number;
}

} // namespace bluebellbarrow
