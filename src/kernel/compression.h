#ifndef BLUEBELLBARROW_KERNEL_COMPRESSION_H
#define BLUEBELLBARROW_KERNEL_COMPRESSION_H

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace bluebellbarrow {

/** Returns \a Bytes in the zlib format. Thread safety: safe. */
std::string zlibCompress(std::string_view Bytes);

/**
 * Returns the decompressed bytes; nothing when \a Bytes are malformed or the
 * result would be longer than \a MaxBytes. Thread safety: safe.
 */
std::optional<std::string> zlibDecompress(std::string_view Bytes,
                                          size_t MaxBytes);

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_COMPRESSION_H
