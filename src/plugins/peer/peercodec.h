#ifndef BLUEBELLBARROW_PEER_PEERCODEC_H
#define BLUEBELLBARROW_PEER_PEERCODEC_H

#include "kernel/framereader.h"
#include "kernel/wirearchive.h"
#include "peermessages.h"

#include <optional>

namespace bluebellbarrow {

/**
 * Maximum size of a frame between peers; fits the largest response body, which
 * is 64 MiB, with its headers.
 */
inline constexpr uint32_t MaxPeerFrameBytes = 66U * 1024 * 1024;

/** Maximum number of bytes queued for sending on one stream. */
inline constexpr size_t MaxPeerQueuedBytes = size_t{72} * 1024 * 1024;

/** Returns \a Message as a frame. Thread safety: safe. */
template <typename T>
Frame encodePeerFrame(PeerFrameKind Kind, const T &Message) {
  return {.Kind = static_cast<uint8_t>(Kind), .Body = encode(Message)};
}

/**
 * Decodes \a Encoded into \a Message. Returns false for another kind or
 * malformed bytes. Thread safety: safe.
 */
template <typename T>
bool decodePeerFrame(const Frame &Encoded, PeerFrameKind Kind, T &Message) {
  return Encoded.Kind == static_cast<uint8_t>(Kind) &&
         decode(Encoded.Body, Message);
}

/** Start of an encoded RequestMessage or ReplyMessage. */
struct NumberPrefix {
  static constexpr size_t EncodedBytes = sizeof(uint64_t);

  RequestNumber Number;

  template <typename Archive> void serialize(Archive &Ar) { Ar(this->Number); }
};

/**
 * Returns the number of the request of which \a Start holds the first bytes;
 * nothing for another kind or too few bytes. Thread safety: safe.
 */
inline std::optional<RequestNumber> decodeRequestNumber(const Frame &Start) {
  NumberPrefix Prefix;
  if (Start.Kind != static_cast<uint8_t>(PeerFrameKind::Request) ||
      !decode(Start.Body.substr(0, NumberPrefix::EncodedBytes), Prefix))
    return std::nullopt;
  return Prefix.Number;
}

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_PEER_PEERCODEC_H
