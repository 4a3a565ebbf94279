#ifndef BLUEBELLBARROW_KERNEL_DIGEST_H
#define BLUEBELLBARROW_KERNEL_DIGEST_H

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace bluebellbarrow {

/** SHA-256 of a value. */
class Digest {
public:
  static constexpr size_t Size = 32;

  /** Creates the null digest: all bytes are zero. */
  Digest() = default;

  explicit Digest(const std::array<uint8_t, Size> &Bytes) : Bytes(Bytes) {}

  /**
   * Parses 64 lower-case hexadecimal digits; returns nothing for any other
   * text. Thread safety: safe.
   */
  static std::optional<Digest> parse(std::string_view Text);

  /** Formats the digest as 64 lower-case hexadecimal digits. */
  std::string str() const;

  /** Returns the first 64 bits as a big-endian number. */
  uint64_t prefix() const;

  auto operator<=>(const Digest &) const = default; // NOLINT

  /** Loads or saves the bytes with a cereal archive. */
  template <typename Archive> void serialize(Archive &Ar) {
    for (uint8_t &Byte : this->Bytes)
      Ar(Byte);
  }

private:
  std::array<uint8_t, Size> Bytes{};
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_DIGEST_H
