#include "digest.h"

namespace bluebellbarrow {

namespace {

constexpr std::string_view Hex = "0123456789abcdef";
constexpr unsigned BitsPerDigit = 4;
constexpr unsigned BitsPerByte = 8;
constexpr unsigned LowDigit = 15;

} // namespace

std::optional<Digest> Digest::parse(std::string_view Text) {
  if (Text.size() != 2 * Size)
    return std::nullopt;
  Digest Read;
  for (size_t Index = 0; Index < Text.size(); ++Index) {
    const size_t Value = Hex.find(Text[Index]);
    if (Value == std::string_view::npos)
      return std::nullopt;
    uint8_t &Byte = Read.Bytes[Index / 2];
    Byte = static_cast<uint8_t>((Byte << BitsPerDigit) | Value);
  }
  return Read;
}

std::string Digest::str() const {
  std::string Text;
  Text.reserve(2 * Size);
  for (const uint8_t Byte : this->Bytes) {
    Text.push_back(Hex[Byte >> BitsPerDigit]);
    Text.push_back(Hex[Byte & LowDigit]);
  }
  return Text;
}

uint64_t Digest::prefix() const {
  uint64_t Prefix = 0;
  for (size_t Index = 0; Index < sizeof(Prefix); ++Index)
    Prefix = (Prefix << BitsPerByte) | this->Bytes[Index];
  return Prefix;
}

} // namespace bluebellbarrow
