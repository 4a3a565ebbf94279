#ifndef BLUEBELLBARROW_PEER_PEERCODEC_H
#define BLUEBELLBARROW_PEER_PEERCODEC_H

#include "kernel/framereader.h"
#include "kernel/wirearchive.h"
#include "peermessages.h"

namespace bluebellbarrow {

/** Longest frame of a call: the largest body and its headers. */
inline constexpr uint32_t MaxPeerFrameBytes = 66U * 1024 * 1024;

/** Bytes that may wait on one stream. */
inline constexpr size_t MaxPeerQueuedBytes = size_t{72} * 1024 * 1024;

/** Returns \a Message as a frame. Thread safety: safe. */
template <typename T>
Frame encodePeerFrame(PeerFrameKind Kind, const T &Message) {
  return {.Kind = static_cast<uint8_t>(Kind), .Body = encode(Message)};
}

/** Reads \a Value as \a Message; false for another kind or bad bytes. */
template <typename T>
bool decodePeerFrame(const Frame &Value, PeerFrameKind Kind, T &Message) {
  return Value.Kind == static_cast<uint8_t>(Kind) &&
         decode(Value.Body, Message);
}

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_PEER_PEERCODEC_H
