#ifndef BLUEBELLBARROW_SPREAD_CONTROLCODEC_H
#define BLUEBELLBARROW_SPREAD_CONTROLCODEC_H

#include "controlmessages.h"
#include "kernel/framereader.h"

#include <optional>
#include <string>
#include <string_view>

namespace bluebellbarrow {

/**
 * Maximum size of a frame, also when decompressed. Fits a full version of the
 * largest settings tree.
 */
inline constexpr uint32_t MaxControlFrameBytes = 16U * 1024 * 1024;

/** Encodes a control message. Thread safety: safe. */
Frame toFrame(const ControlMessage &Message);

/** Decodes a frame; nothing for a malformed one. Thread safety: safe. */
std::optional<ControlMessage> fromFrame(const Frame &Value);

/** Returns the first frame of each control stream. */
Frame makeHelloFrame(MeshId Mesh);

/** Returns true when \a Value is the hello frame of \a Mesh. */
bool isHello(const Frame &Value, MeshId Mesh);

/** Encodes a digest. Thread safety: safe. */
std::string toDatagram(const DigestMessage &Message);

/** Decodes a datagram; nothing for a malformed one. */
std::optional<DigestMessage> fromDatagram(std::string_view Bytes);

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_SPREAD_CONTROLCODEC_H
