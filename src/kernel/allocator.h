#ifndef BLUEBELLBARROW_KERNEL_ALLOCATOR_H
#define BLUEBELLBARROW_KERNEL_ALLOCATOR_H

namespace bluebellbarrow {

/**
 * Makes the allocator return freed memory to the system, so that the heap does
 * not stay large after a large version was read.
 *
 * \pre called before other threads start.
 */
void configureAllocator();

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_ALLOCATOR_H
