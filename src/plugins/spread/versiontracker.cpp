#include "versiontracker.h"

#include <algorithm>

namespace bluebellbarrow {

namespace {

constexpr size_t MaxRefused = 64;

} // namespace

VersionStatus VersionTracker::classify(const VersionId &Version) const {
  if (Version == this->Current)
    return VersionStatus::Current;
  if (Version < this->Current)
    return VersionStatus::Older;
  return this->RefusedVersions.contains(Version) ? VersionStatus::Refused
                                                 : VersionStatus::Candidate;
}

bool VersionTracker::isCandidate(const VersionTag &Tag) const {
  if (Tag <= toVersionTag(this->Current))
    return false;
  return std::none_of(this->RefusedVersions.begin(),
                      this->RefusedVersions.end(), [&Tag](const auto &Refused) {
                        return toVersionTag(Refused.first) == Tag;
                      });
}

bool VersionTracker::conflicts(const VersionId &Version) const {
  const auto ConflictsWith = [&Version](const VersionId &Other) {
    return Other.Number == Version.Number && Other.Hash != Version.Hash;
  };
  if (Version.isNone())
    return false;
  return ConflictsWith(this->Current) ||
         std::any_of(
             this->RefusedVersions.begin(), this->RefusedVersions.end(),
             [&](const auto &Refused) { return ConflictsWith(Refused.first); });
}

void VersionTracker::setCurrent(const VersionId &Version) {
  this->Current = Version;
}

void VersionTracker::refuse(const VersionId &Version,
                            const std::string &Reason) {
  this->RefusedVersions[Version] = Reason;
  // The map is ordered by version, so its first entry is the oldest version.
  if (this->RefusedVersions.size() > MaxRefused)
    this->RefusedVersions.erase(this->RefusedVersions.begin());
}

} // namespace bluebellbarrow
