#include "controlmessages.h"

namespace bluebellbarrow {

namespace {

constexpr std::array<const char *, std::variant_size_v<ControlMessage>> Names =
    {"offer", "transfer", "ack", "pull", "busy", "announcements"};

} // namespace

VersionTag toVersionTag(const VersionId &Version) {
  return {.Number = Version.Number, .HashPrefix = Version.Hash.prefix()};
}

const char *controlMessageName(const ControlMessage &Message) {
  return Names.at(Message.index());
}

} // namespace bluebellbarrow
