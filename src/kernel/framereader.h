#ifndef BLUEBELLBARROW_KERNEL_FRAMEREADER_H
#define BLUEBELLBARROW_KERNEL_FRAMEREADER_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bluebellbarrow {

/** One message on a stream between processes: a kind and an encoded body. */
struct Frame {
  uint8_t Kind = 0;
  std::string Body;
};

/** Returns \a Value in the frame format. Thread safety: safe. */
std::string encodeFrame(const Frame &Value);

/**
 * Splits a byte stream into frames. Format: a length of four bytes
 * (little-endian; counts kind and body), one byte of kind, the body.
 *
 * Thread safety: none.
 */
class FrameReader {
public:
  /** \a MaxBytes limits the length of kind and body of a frame. */
  explicit FrameReader(uint32_t MaxBytes) : MaxBytes(MaxBytes) {}

  /** Appends received bytes. */
  void feed(std::string_view Bytes) { this->Buffer.append(Bytes); }

  /** Returns the next complete frame; nothing when more bytes are needed. */
  std::optional<Frame> next();

  /** Returns true after an invalid length; the stream is then unusable. */
  bool hasInvalidLength() const { return this->InvalidLength; }

  /** Returns the number of bytes not returned as frames yet. */
  size_t bufferedBytes() const { return this->Buffer.size() - this->Position; }

private:
  uint32_t MaxBytes;
  std::string Buffer;
  size_t Position = 0;
  bool InvalidLength = false;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_FRAMEREADER_H
