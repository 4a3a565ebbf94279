#include "spreadmessages.h"

#include <charconv>

namespace bluebellbarrow {

namespace {

constexpr size_t PrefixDigits = 16;
constexpr int Hexadecimal = 16;

constexpr std::array<const char *, std::variant_size_v<ControlMessage>> Names =
    {"offer", "transfer", "ack", "pull", "busy", "announcements"};

} // namespace

VersionTag tagOf(const VersionId &Version) {
  VersionTag Tag{.Number = Version.Number};
  const std::string Prefix = Version.Hash.str().substr(0, PrefixDigits);
  std::from_chars(Prefix.data(), Prefix.data() + Prefix.size(), Tag.HashPrefix,
                  Hexadecimal);
  return Tag;
}

const char *controlMessageName(const ControlMessage &Message) {
  return Names.at(Message.index());
}

} // namespace bluebellbarrow
