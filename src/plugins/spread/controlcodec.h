#ifndef BLUEBELLBARROW_SPREAD_CONTROLCODEC_H
#define BLUEBELLBARROW_SPREAD_CONTROLCODEC_H

#include "controlmessages.h"
#include "kernel/framereader.h"

#include <optional>
#include <string>
#include <string_view>

namespace bluebellbarrow {

/** Longest frame, also once decompressed: a version of the largest tree. */
inline constexpr uint32_t MaxControlFrameBytes = 16U * 1024 * 1024;

/** Returns a control message as a frame. Thread safety: safe. */
Frame toFrame(const ControlMessage &Message);

/** Reads a frame; nothing for one that is malformed. Thread safety: safe. */
std::optional<ControlMessage> fromFrame(const Frame &Value);

/** Returns the first frame of each control stream. */
Frame makeHelloFrame(MeshId Mesh);

/** Returns true when \a Value is the greeting of \a Mesh. */
bool isHello(const Frame &Value, MeshId Mesh);

/** Returns a digest as a datagram. Thread safety: safe. */
std::string toDatagram(const DigestMessage &Message);

/** Reads a datagram; nothing for one that is malformed. */
std::optional<DigestMessage> fromDatagram(std::string_view Bytes);

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_SPREAD_CONTROLCODEC_H
