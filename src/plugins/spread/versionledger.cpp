#include "versionledger.h"

#include <algorithm>

namespace bluebellbarrow {

namespace {

constexpr size_t MaxRefused = 64;

} // namespace

Verdict VersionLedger::judge(const VersionId &Version) const {
  if (Version == this->Current)
    return Verdict::InForce;
  if (Version < this->Current)
    return Verdict::Older;
  return this->Bad.contains(Version) ? Verdict::Refused : Verdict::Wanted;
}

bool VersionLedger::wants(const VersionTag &Tag) const {
  if (Tag <= tagOf(this->Current))
    return false;
  return std::none_of(
      this->Bad.begin(), this->Bad.end(),
      [&Tag](const auto &Each) { return tagOf(Each.first) == Tag; });
}

bool VersionLedger::conflicts(const VersionId &Version) const {
  const auto SameNumber = [&Version](const VersionId &Other) {
    return Other.Number == Version.Number && Other.Hash != Version.Hash;
  };
  if (Version.none())
    return false;
  return SameNumber(this->Current) ||
         std::any_of(this->Bad.begin(), this->Bad.end(),
                     [&](const auto &Each) { return SameNumber(Each.first); });
}

void VersionLedger::apply(const VersionId &Version) { this->Current = Version; }

void VersionLedger::refuse(const VersionId &Version,
                           const std::string &Reason) {
  this->Bad[Version] = Reason;
  if (this->Bad.size() > MaxRefused)
    this->Bad.erase(this->Bad.begin());
}

} // namespace bluebellbarrow
