#include "compression.h"

#include <array>
#include <zlib.h>

namespace bluebellbarrow {

namespace {

constexpr size_t ChunkBytes = size_t{16} * 1024;

const Bytef *zlibInput(std::string_view Bytes) {
  return reinterpret_cast<const Bytef *>(Bytes.data());
}

} // namespace

std::string zlibCompress(std::string_view Bytes) {
  uLongf Length = compressBound(Bytes.size());
  std::string Output(Length, '\0');
  compress(reinterpret_cast<Bytef *>(Output.data()), &Length, zlibInput(Bytes),
           Bytes.size());
  Output.resize(Length);
  return Output;
}

std::optional<std::string> zlibDecompress(std::string_view Bytes,
                                          size_t MaxBytes) {
  z_stream Stream{};
  if (inflateInit(&Stream) != Z_OK)
    return std::nullopt;
  Stream.next_in =
      const_cast<Bytef *>(zlibInput(Bytes)); // NOLINT: never written
  Stream.avail_in = static_cast<uInt>(Bytes.size());
  std::string Output;
  std::array<char, ChunkBytes> Chunk{};
  int Status = Z_OK;
  while (Status == Z_OK && Output.size() <= MaxBytes) {
    Stream.next_out = reinterpret_cast<Bytef *>(Chunk.data());
    Stream.avail_out = static_cast<uInt>(Chunk.size());
    Status = inflate(&Stream, Z_NO_FLUSH);
    Output.append(Chunk.data(), Chunk.size() - Stream.avail_out);
  }
  inflateEnd(&Stream);
  const bool Complete = Status == Z_STREAM_END && Stream.avail_in == 0;
  if (!Complete || Output.size() > MaxBytes)
    return std::nullopt;
  return Output;
}

} // namespace bluebellbarrow
