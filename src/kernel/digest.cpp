#include "digest.h"

namespace bluebellbarrow {

namespace {

constexpr std::string_view HexDigits = "0123456789abcdef";
constexpr unsigned BitsPerDigit = 4;
constexpr unsigned BitsPerByte = 8;
constexpr unsigned LowDigitMask = 15;

} // namespace

std::optional<Digest> Digest::parse(std::string_view Text) {
  if (Text.size() != 2 * Size)
    return std::nullopt;
  Digest Parsed;
  for (size_t Index = 0; Index < Text.size(); ++Index) {
    const size_t DigitValue = HexDigits.find(Text[Index]);
    if (DigitValue == std::string_view::npos)
      return std::nullopt;
    uint8_t &Byte = Parsed.Bytes[Index / 2];
    Byte = static_cast<uint8_t>((Byte << BitsPerDigit) | DigitValue);
  }
  return Parsed;
}

std::string Digest::str() const {
  std::string Text;
  Text.reserve(2 * Size);
  for (const uint8_t Byte : this->Bytes) {
    Text.push_back(HexDigits[Byte >> BitsPerDigit]);
    Text.push_back(HexDigits[Byte & LowDigitMask]);
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
