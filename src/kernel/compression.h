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
 * Returns the bytes that were compressed; nothing for what is malformed or
 * would be longer than \a MaxBytes. Thread safety: safe.
 */
std::optional<std::string> zlibDecompress(std::string_view Bytes,
                                          size_t MaxBytes);

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_COMPRESSION_H
