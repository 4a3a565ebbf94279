#ifndef BLUEBELLBARROW_MEMBERSHIP_MEMBERSHIP_H
#define BLUEBELLBARROW_MEMBERSHIP_MEMBERSHIP_H

#include "memberword.h"

#include <map>
#include <vector>

namespace bluebellbarrow {

/**
 * The newest word of each node, which beats the platform's lagging list.
 *
 * Thread safety: none; owned by one task.
 */
class Membership {
public:
  /** Creates a membership in which this node speaks with \a Own. */
  explicit Membership(MemberWord Own) : OwnWord(std::move(Own)) {}

  const MemberWord &own() const { return this->OwnWord; }

  /** Changes this node's word. Returns false when it already says so. */
  bool setOwnState(MemberState State);

  /**
   * Takes in the word of another node. Returns true when it is news. A word
   * about this node under a higher life raises this node's life above it.
   */
  bool merge(const MemberWord &Word);

  /** Returns the newest word of \a Name, or null. */
  const MemberWord *find(const VmName &Name) const;

  /** Returns true unless the node itself says that it takes nothing new. */
  bool takesWork(const VmName &Name) const;

  /** Returns up to \a Limit of the newest words, the latest news first. */
  std::vector<MemberWord> recentNews(size_t Limit) const;

  /** Forgets the words of nodes for which \a IsListed is false. */
  template <typename Predicate> void retain(Predicate IsListed) {
    std::erase_if(this->Words, [&IsListed](const auto &Each) {
      return !IsListed(Each.first);
    });
  }

private:
  MemberWord OwnWord;
  std::map<VmName, MemberWord> Words;
  std::vector<VmName> News;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_MEMBERSHIP_MEMBERSHIP_H
