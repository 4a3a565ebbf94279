#ifndef BLUEBELLBARROW_SPREAD_VERSIONTRACKER_H
#define BLUEBELLBARROW_SPREAD_VERSIONTRACKER_H

#include "controlmessages.h"
#include "kernel/clock.h"
#include "tree/manifest.h"

#include <map>
#include <string>

namespace bluebellbarrow {

/** How a node treats a version that it learns of. */
enum class VersionStatus {
  /** Older than the current one; never applied. */
  Older,

  /** The current one. */
  Current,

  /** Failed validation before. */
  Refused,

  /** Newer than the current one: to be fetched and validated. */
  Candidate,
};

/**
 * Decides which versions of one kind may become the current one. The current
 * version only increases, in the order of VersionId, whatever the source.
 *
 * Thread safety: none; owned by one task.
 */
class VersionTracker {
public:
  VersionStatus classify(const VersionId &Version) const;

  /** Returns true when \a Tag stands for a candidate version. */
  bool isCandidate(const VersionTag &Tag) const;

  /**
   * Returns true when \a Version has the number of the current version, or of
   * a refused one, and another digest.
   */
  bool conflicts(const VersionId &Version) const;

  /** Makes \a Version current. \pre classify() returns Candidate for it. */
  void setCurrent(const VersionId &Version);

  /** Records that \a Version failed validation. */
  void refuse(const VersionId &Version, const std::string &Reason);

  const VersionId &current() const { return this->Current; }

  /** Returns the refused versions and why. */
  const std::map<VersionId, std::string> &refused() const {
    return this->RefusedVersions;
  }

private:
  VersionId Current;
  std::map<VersionId, std::string> RefusedVersions;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_SPREAD_VERSIONTRACKER_H
