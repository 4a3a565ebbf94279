#include "percentencoding.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace bluebellbarrow {

namespace {

constexpr std::string_view HexDigits = "0123456789ABCDEF";

/** Number of hexadecimal digits after a '%'. */
constexpr size_t EscapeDigits = 2;

bool isUnreserved(unsigned char Byte) {
  return Byte < 0x80 &&
         (std::isalnum(Byte) != 0 || Byte == '-' || Byte == '_' || Byte == '.');
}

bool isHexDigit(char Character) {
  return std::isxdigit(static_cast<unsigned char>(Character)) != 0;
}

} // namespace

std::string percentEncode(std::string_view Text) {
  std::string Encoded;
  Encoded.reserve(Text.size());
  for (const char Character : Text) {
    const auto Byte = static_cast<unsigned char>(Character);
    const bool IsLeadingDot = Encoded.empty() && Byte == '.';
    if (isUnreserved(Byte) && !IsLeadingDot) {
      Encoded += Character;
      continue;
    }
    Encoded += '%';
    Encoded += HexDigits[Byte / 16];
    Encoded += HexDigits[Byte % 16];
  }
  return Encoded;
}

std::optional<std::string> percentDecode(std::string_view Encoded) {
  std::string Text;
  Text.reserve(Encoded.size());
  for (size_t Position = 0; Position < Encoded.size(); ++Position) {
    if (Encoded[Position] != '%') {
      Text += Encoded[Position];
      continue;
    }
    const std::string_view Digits = Encoded.substr(Position + 1, EscapeDigits);
    if (Digits.size() < EscapeDigits ||
        !std::all_of(Digits.begin(), Digits.end(), isHexDigit))
      return std::nullopt;
    unsigned char Byte = 0;
    std::from_chars(Digits.data(), Digits.data() + Digits.size(), Byte, 16);
    Text += static_cast<char>(Byte);
    Position += EscapeDigits;
  }
  return Text;
}

} // namespace bluebellbarrow
