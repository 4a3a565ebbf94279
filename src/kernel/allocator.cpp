#include "allocator.h"

#include <malloc.h>

namespace bluebellbarrow {

namespace {

/** Blocks from this size on are mapped, and unmapped when they are freed. */
constexpr int MappedBlockBytes = 64 * 1024;

/** Free bytes at the end of the heap from which on it shrinks. */
constexpr int FreeTopBytes = 64 * 1024;

} // namespace

void configureAllocator() {
  mallopt(M_MMAP_THRESHOLD, MappedBlockBytes);
  mallopt(M_TRIM_THRESHOLD, FreeTopBytes);
}

} // namespace bluebellbarrow
