#include "allocator.h"

#include <malloc.h>

namespace bluebellbarrow {

namespace {

/** Blocks of this size or more are mapped, and unmapped when freed. */
constexpr int MmapThresholdBytes = 64 * 1024;

/** Free bytes at the top of the heap above which it is trimmed. */
constexpr int TrimThresholdBytes = 64 * 1024;

} // namespace

void configureAllocator() {
  mallopt(M_MMAP_THRESHOLD, MmapThresholdBytes);
  mallopt(M_TRIM_THRESHOLD, TrimThresholdBytes);
}

} // namespace bluebellbarrow
