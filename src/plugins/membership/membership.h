#ifndef BLUEBELLBARROW_MEMBERSHIP_MEMBERSHIP_H
#define BLUEBELLBARROW_MEMBERSHIP_MEMBERSHIP_H

#include "memberannouncement.h"

#include <map>
#include <vector>

namespace bluebellbarrow {

/**
 * The newest announcement of each node, which beats the platform's lagging
 * list.
 *
 * Thread safety: none; owned by one task.
 */
class Membership {
public:
  /** Creates a membership in which this node speaks with \a Own. */
  explicit Membership(MemberAnnouncement Own)
      : LocalAnnouncement(std::move(Own)) {}

  const MemberAnnouncement &local() const { return this->LocalAnnouncement; }

  /** Changes this node's announcement. Returns false when it already says so.
   */
  bool setLocalState(MemberState State);

  /**
   * Takes in the announcement of another node. Returns true when it is news. An
   * announcement about this node under a higher life raises this node's life
   * above it.
   */
  bool merge(const MemberAnnouncement &Announced);

  /**
   * Returns what is known of a node that seems to have started later than
   * \a Announced says, or null. A time of day that went back causes that.
   */
  const MemberAnnouncement *
  newerIncarnation(const MemberAnnouncement &Announced) const;

  /** Returns the newest announcement of \a Name, or null. */
  const MemberAnnouncement *find(const VmName &Name) const;

  /** Returns true unless the node itself says that it takes nothing new. */
  bool acceptsRequests(const VmName &Name) const;

  /** Returns up to \a Limit of the newest announcements, the latest news first.
   */
  std::vector<MemberAnnouncement> recentUpdates(size_t Limit) const;

  /** Forgets the announcements of nodes for which \a IsListed is false. */
  template <typename Predicate> void retain(Predicate IsListed) {
    std::erase_if(this->Announcements, [&IsListed](const auto &Each) {
      return !IsListed(Each.first);
    });
  }

private:
  MemberAnnouncement LocalAnnouncement;
  std::map<VmName, MemberAnnouncement> Announcements;
  std::vector<VmName> RecentlyUpdated;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_MEMBERSHIP_MEMBERSHIP_H
