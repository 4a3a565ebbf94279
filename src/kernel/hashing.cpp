#include "hashing.h"

#include <openssl/sha.h>
#include <xxhash.h>

#include <array>

namespace bluebellbarrow {

Digest computeDigest(std::string_view Value) {
  std::array<uint8_t, Digest::Size> Hash{};
  SHA256(reinterpret_cast<const unsigned char *>(Value.data()), Value.size(),
         Hash.data());
  return Digest(Hash);
}

MeshId computeMeshId(std::string_view Name) { return MeshId(stableHash(Name)); }

uint64_t stableHash(std::string_view Value) {
  return XXH3_64bits(Value.data(), Value.size());
}

uint64_t rendezvousWeight(std::string_view Key, std::string_view Member) {
  return XXH3_64bits_withSeed(Member.data(), Member.size(), stableHash(Key));
}

} // namespace bluebellbarrow
