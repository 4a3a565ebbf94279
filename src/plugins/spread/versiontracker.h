#ifndef BLUEBELLBARROW_SPREAD_VERSIONTRACKER_H
#define BLUEBELLBARROW_SPREAD_VERSIONTRACKER_H

#include "controlmessages.h"
#include "kernel/clock.h"
#include "tree/manifest.h"

#include <map>
#include <string>

namespace bluebellbarrow {

/** What a node does about a version that it hears of. */
enum class VersionStatus {
  /** Older than the one in force; never applied. */
  Older,

  /** The one in force. */
  Current,

  /** Checked before and found bad. */
  Refused,

  /** Newer than the one in force: to be fetched and checked. */
  Candidate,
};

/**
 * Decides which versions of one kind may come into force. Versions only go
 * up, in the order of VersionId, whatever the source.
 *
 * Thread safety: none; owned by one task.
 */
class VersionTracker {
public:
  /** Returns what to do about \a Version. */
  VersionStatus classify(const VersionId &Version) const;

  /** Returns true when \a Tag stands for a version that is wanted. */
  bool isCandidate(const VersionTag &Tag) const;

  /**
   * Returns true when \a Version has the number of the one in force, or of a
   * refused one, and another digest.
   */
  bool conflicts(const VersionId &Version) const;

  /** Records that \a Version is in force. \pre judge() says Wanted. */
  void setCurrent(const VersionId &Version);

  /** Records that \a Version is bad. */
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
