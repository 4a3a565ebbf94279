#include "hashing.h"

#include <openssl/sha.h>
#include <xxhash.h>

#include <array>

namespace bluebellbarrow {

Digest digestOf(std::string_view Value) {
  static constexpr char Hex[] = "0123456789abcdef";
  std::array<unsigned char, SHA256_DIGEST_LENGTH> Hash{};
  SHA256(reinterpret_cast<const unsigned char *>(Value.data()), Value.size(),
         Hash.data());

  std::string Text;
  Text.reserve(Hash.size() * 2);
  for (const unsigned char Byte : Hash) {
    Text.push_back(Hex[Byte >> 4U]);
    Text.push_back(Hex[Byte & 15U]);
  }
  return Digest(Text);
}

MeshId meshIdOf(std::string_view Name) { return MeshId(stableHash(Name)); }

uint64_t stableHash(std::string_view Value) {
  return XXH3_64bits(Value.data(), Value.size());
}

uint64_t rendezvousWeight(std::string_view Key, std::string_view Member) {
  return XXH3_64bits_withSeed(Member.data(), Member.size(), stableHash(Key));
}

} // namespace bluebellbarrow
