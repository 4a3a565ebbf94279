#ifndef BLUEBELLBARROW_KERNEL_ALLOCATOR_H
#define BLUEBELLBARROW_KERNEL_ALLOCATOR_H

namespace bluebellbarrow {

/**
 * Makes the allocator return what is freed to the system, so that reading a
 * large version leaves no large heap behind. Thread safety: to be called
 * before other threads start.
 */
void configureAllocator();

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_ALLOCATOR_H
