#include "plugins/membership/membership.h"

#include <criterion/criterion.h>

using namespace bluebellbarrow; // NOLINT: test

namespace {

MemberAnnouncement announcement(const char *Name, uint64_t Incarnation,
                                uint32_t Sequence, MemberState State) {
  return {.Name = VmName(Name),
          .Incarnation = IncarnationId(Incarnation),
          .Sequence = Sequence,
          .State = State};
}

} // namespace

Test(membership, higher_incarnation_or_sequence_replaces_lower_in_any_order) {
  Membership Members(announcement("self", 1, 1, MemberState::Serving));
  cr_expect(Members.merge(announcement("a", 5, 2, MemberState::Draining)));
  cr_expect_not(Members.merge(announcement("a", 5, 1, MemberState::Serving)));
  cr_expect_not(Members.acceptsRequests(VmName("a")));
  cr_expect(Members.merge(announcement("a", 6, 1, MemberState::Serving)));
  cr_expect_not(Members.merge(announcement("a", 5, 9, MemberState::Gone)));
  cr_expect(Members.acceptsRequests(VmName("a")));
}

Test(membership, raises_local_incarnation_above_a_higher_announced_one) {
  Membership Members(announcement("self", 10, 1, MemberState::Serving));
  cr_expect_not(Members.merge(announcement("self", 9, 7, MemberState::Gone)));
  cr_expect(Members.merge(announcement("self", 20, 1, MemberState::Gone)));
  cr_expect_eq(Members.local().Incarnation.value(), 21);
  cr_expect_eq(Members.local().State, MemberState::Serving);
}
