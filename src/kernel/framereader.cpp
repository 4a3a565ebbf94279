#include "framereader.h"

#include "releasememory.h"

#include <cstring>

namespace bluebellbarrow {

namespace {

constexpr size_t LengthBytes = sizeof(uint32_t);

/** Memory that a reader keeps while it holds no bytes. */
constexpr size_t MaxIdleBytes = size_t{16} * 1024;

} // namespace

std::string encodeFrame(const Frame &Value) {
  const auto Length = static_cast<uint32_t>(Value.Body.size() + 1);
  std::string Bytes(LengthBytes, '\0');
  std::memcpy(Bytes.data(), &Length, LengthBytes);
  Bytes.push_back(static_cast<char>(Value.Kind));
  Bytes += Value.Body;
  return Bytes;
}

std::optional<Frame> FrameReader::next() {
  if (this->InvalidLength || this->bufferedBytes() < LengthBytes)
    return std::nullopt;

  uint32_t Length = 0;
  std::memcpy(&Length, this->Buffer.data() + this->Position, LengthBytes);
  if (Length == 0 || Length > this->MaxBytes) {
    this->InvalidLength = true;
    return std::nullopt;
  }
  if (this->bufferedBytes() < LengthBytes + Length) {
    this->Buffer.erase(0, this->Position);
    this->Position = 0;
    return std::nullopt;
  }

  const size_t Start = this->Position + LengthBytes;
  Frame Value{.Kind = static_cast<uint8_t>(this->Buffer[Start]),
              .Body = this->Buffer.substr(Start + 1, Length - 1)};
  this->Position += LengthBytes + Length;
  if (this->Position == this->Buffer.size()) {
    if (this->Buffer.capacity() > MaxIdleBytes)
      releaseMemory(this->Buffer);
    this->Buffer.clear();
    this->Position = 0;
  }
  return Value;
}

} // namespace bluebellbarrow
