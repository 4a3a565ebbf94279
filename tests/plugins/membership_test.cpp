#include "plugins/membership/membership.h"

#include <criterion/criterion.h>

using namespace bluebellbarrow; // NOLINT: test

namespace {

MemberAnnouncement announced(const char *Name, uint64_t Life, uint32_t Sequence,
                             MemberState State) {
  return {.Name = VmName(Name),
          .Incarnation = IncarnationId(Life),
          .Sequence = Sequence,
          .State = State};
}

} // namespace

Test(membership, newer_life_and_sequence_win_in_any_order) {
  Membership Members(announced("self", 1, 1, MemberState::Serving));
  cr_expect(Members.merge(announced("a", 5, 2, MemberState::Draining)));
  cr_expect_not(Members.merge(announced("a", 5, 1, MemberState::Serving)));
  cr_expect_not(Members.acceptsRequests(VmName("a")));
  cr_expect(Members.merge(announced("a", 6, 1, MemberState::Serving)));
  cr_expect_not(Members.merge(announced("a", 5, 9, MemberState::Gone)));
  cr_expect(Members.acceptsRequests(VmName("a")));
}

Test(membership, goes_above_a_higher_life_of_its_own_name) {
  Membership Members(announced("self", 10, 1, MemberState::Serving));
  cr_expect_not(Members.merge(announced("self", 9, 7, MemberState::Gone)));
  cr_expect(Members.merge(announced("self", 20, 1, MemberState::Gone)));
  cr_expect_eq(Members.local().Incarnation.value(), 21);
  cr_expect_eq(Members.local().State, MemberState::Serving);
}
