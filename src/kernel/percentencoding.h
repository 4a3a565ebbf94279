#ifndef BLUEBELLBARROW_KERNEL_PERCENTENCODING_H
#define BLUEBELLBARROW_KERNEL_PERCENTENCODING_H

#include <optional>
#include <string>
#include <string_view>

namespace bluebellbarrow {

/**
 * Returns \a Text as one word of letters, digits, '-', '_', '.' and "%XX" for
 * every other byte, so that any name fits into a line, a path or a URL. A '.'
 * at the start is encoded too, because file trees give it a meaning.
 *
 * Source: RFC 3986, section 2.1.
 * Thread safety: safe.
 */
std::string percentEncode(std::string_view Text);

/**
 * Returns the text that percentEncode() was given; nullopt for a '%' without
 * two hexadecimal digits. Characters that needed no encoding are accepted with
 * and without it.
 *
 * Thread safety: safe.
 */
std::optional<std::string> percentDecode(std::string_view Encoded);

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_PERCENTENCODING_H
