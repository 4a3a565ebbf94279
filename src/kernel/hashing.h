#ifndef BLUEBELLBARROW_KERNEL_HASHING_H
#define BLUEBELLBARROW_KERNEL_HASHING_H

#include "digest.h"
#include "ids.h"

#include <cstdint>
#include <string_view>

namespace bluebellbarrow {

/** Returns the SHA-256 of \a Value. Thread safety: safe. */
Digest computeDigest(std::string_view Value);

/** Returns the identifier of the mesh \a Name. Thread safety: safe. */
MeshId computeMeshId(std::string_view Name);

/**
 * Returns a 64-bit hash of \a Value that is the same on every machine.
 * Method: XXH3. Thread safety: safe.
 */
uint64_t stableHash(std::string_view Value);

/**
 * Returns the weight of \a Member for \a Key in rendezvous hashing: the member
 * with the highest weight owns the key. Thread safety: safe.
 */
uint64_t rendezvousWeight(std::string_view Key, std::string_view Member);

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_HASHING_H
