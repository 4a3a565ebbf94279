#ifndef BLUEBELLBARROW_MEMBERSHIP_MEMBERSHIP_H
#define BLUEBELLBARROW_MEMBERSHIP_MEMBERSHIP_H

#include "memberannouncement.h"

#include <map>
#include <vector>

namespace bluebellbarrow {

/**
 * The newest announcement of each node. It takes precedence over the platform's
 * VM list, which lags behind.
 *
 * Thread safety: none; owned by one task.
 */
class Membership {
public:
  /** Creates a membership with the announcement of this node. */
  explicit Membership(MemberAnnouncement Local)
      : LocalAnnouncement(std::move(Local)) {}

  const MemberAnnouncement &local() const { return this->LocalAnnouncement; }

  /** Sets the announced state of this node. Returns true if it has changed. */
  bool setLocalState(MemberState State);

  /**
   * Merges a received announcement. Returns true if it changes anything. An
   * announcement of this node under a higher incarnation raises the incarnation
   * of this node above it.
   */
  bool merge(const MemberAnnouncement &Announcement);

  /**
   * Returns the known announcement of the same node if it has a higher
   * incarnation than \a Announcement, or null. This happens when the node
   * restarts after its clock was set back.
   */
  const MemberAnnouncement *
  newerIncarnation(const MemberAnnouncement &Announcement) const;

  /** Returns the newest announcement of \a Name, or null. */
  const MemberAnnouncement *find(const VmName &Name) const;

  /** Returns true unless the node has announced another state than Serving. */
  bool acceptsRequests(const VmName &Name) const;

  /** Returns up to \a Limit recently updated announcements, newest first. */
  std::vector<MemberAnnouncement> recentUpdates(size_t Limit) const;

  /** Removes announcements of nodes for whose name \a IsListed is false. */
  template <typename Predicate> void retain(Predicate IsListed) {
    std::erase_if(this->Announcements, [&IsListed](const auto &Entry) {
      return !IsListed(Entry.first);
    });
  }

private:
  MemberAnnouncement LocalAnnouncement;
  std::map<VmName, MemberAnnouncement> Announcements;
  std::vector<VmName> RecentlyUpdated;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_MEMBERSHIP_MEMBERSHIP_H
