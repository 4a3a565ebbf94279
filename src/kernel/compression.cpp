#include "compression.h"

#include <array>
#include <zlib.h>

namespace bluebellbarrow {

namespace {

constexpr size_t StepBytes = size_t{16} * 1024;

const Bytef *input(std::string_view Bytes) {
  return reinterpret_cast<const Bytef *>(Bytes.data());
}

} // namespace

std::string zlibCompress(std::string_view Bytes) {
  uLongf Length = compressBound(Bytes.size());
  std::string Out(Length, '\0');
  compress(reinterpret_cast<Bytef *>(Out.data()), &Length, input(Bytes),
           Bytes.size());
  Out.resize(Length);
  return Out;
}

std::optional<std::string> zlibDecompress(std::string_view Bytes,
                                          size_t MaxBytes) {
  z_stream Stream{};
  if (inflateInit(&Stream) != Z_OK)
    return std::nullopt;
  Stream.next_in = const_cast<Bytef *>(input(Bytes)); // NOLINT: never written
  Stream.avail_in = static_cast<uInt>(Bytes.size());
  std::string Out;
  std::array<char, StepBytes> Step{};
  int Result = Z_OK;
  while (Result == Z_OK && Out.size() <= MaxBytes) {
    Stream.next_out = reinterpret_cast<Bytef *>(Step.data());
    Stream.avail_out = static_cast<uInt>(Step.size());
    Result = inflate(&Stream, Z_NO_FLUSH);
    Out.append(Step.data(), Step.size() - Stream.avail_out);
  }
  inflateEnd(&Stream);
  const bool Whole = Result == Z_STREAM_END && Stream.avail_in == 0;
  if (!Whole || Out.size() > MaxBytes)
    return std::nullopt;
  return Out;
}

} // namespace bluebellbarrow
