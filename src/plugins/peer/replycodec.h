#ifndef BLUEBELLBARROW_PEER_REPLYCODEC_H
#define BLUEBELLBARROW_PEER_REPLYCODEC_H

#include "kernel/framereader.h"
#include "peermessages.h"

#include <optional>

namespace bluebellbarrow {

/**
 * Returns a reply as a frame: the length of the message without its body, that
 * message, and the body. A long body is moved and not copied, so that it is
 * never held twice. Thread safety: safe.
 */
Frame encodeReply(ReplyMessage Message);

/**
 * Decodes the frame of encodeReply(). Takes the body out of \a Encoded if its
 * kind is that of a reply. A response with an invalid status becomes an unknown
 * outcome. Returns nothing for another kind or malformed bytes.
 * Thread safety: safe.
 */
std::optional<ReplyMessage> decodeReply(Frame &Encoded);

/**
 * Returns the number of the reply of which \a Start holds the first bytes;
 * nothing for another kind or too few bytes. Thread safety: safe.
 */
std::optional<RequestNumber> decodeReplyNumber(const Frame &Start);

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_PEER_REPLYCODEC_H
