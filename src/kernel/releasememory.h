#ifndef BLUEBELLBARROW_KERNEL_RELEASEMEMORY_H
#define BLUEBELLBARROW_KERNEL_RELEASEMEMORY_H

#include <string>

namespace bluebellbarrow {

/**
 * Empties \a Text and returns its memory, which neither clear() nor the
 * assignment of an empty text does.
 */
inline void releaseMemory(std::string &Text) { std::string().swap(Text); }

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_RELEASEMEMORY_H
