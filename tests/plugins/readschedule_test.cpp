#include "plugins/spread/readcost.h"
#include "plugins/spread/readschedule.h"

#include <criterion/criterion.h>

using namespace bluebellbarrow; // NOLINT: test

namespace {

constexpr ReadScheduleOptions Options = {.ReaderCount = 1,
                                         .TakeoverAge = milliseconds(1200),
                                         .TakeoverStep = milliseconds(100)};

MemberAnnouncement announced(const VmName &Name, bool ReadsSlowly) {
  return {.Name = Name,
          .Incarnation = IncarnationId(1),
          .Sequence = 1,
          .State = MemberState::Serving,
          .IsSlowReader = ReadsSlowly};
}

/** The view of one node of a fleet in one domain. */
struct View {
  explicit View(const VmName &Self)
      : Self(Self), Members(announced(Self, false)), Order(Nodes, Members),
        Schedule(Options, Self, Order, 1, Now) {}

  /** Lists the nodes "n0" to "n(Count - 1)". */
  void list(size_t Count) {
    std::vector<Vm> Vms;
    for (size_t Index = 0; Index < Count; ++Index) {
      const std::string Number = std::to_string(Index);
      Vms.push_back({.Name = VmName("n" + Number),
                     .Ip = Address("10.0.0." + Number),
                     .Domain = FailureDomain("a")});
    }
    this->Nodes = Topology(Vms, this->Self, FailureDomain("a"));
    this->Schedule.onOrderChanged();
  }

  /** Lets time pass; returns whether the node reads at its end. */
  bool after(Duration Time) {
    this->Now += Time;
    return this->Schedule.shouldRead(this->Now);
  }

  TimePoint Now{seconds(1000)};
  VmName Self;
  Topology Nodes;
  Membership Members;
  ReadOrder Order;
  ReadSchedule Schedule;
};

/** Returns the first or the last of \a Count nodes in the order of reading. */
VmName placed(size_t Count, bool First) {
  View Any(VmName("n0"));
  Any.list(Count);
  return Any.Nodes.vmAtReadPosition(First ? 0 : Count - 1).Name;
}

} // namespace

Test(readschedule, a_reader_goes_on_until_a_better_placed_one_reads) {
  View Node(VmName("n0"));
  Node.list(1);
  cr_assert(Node.after(milliseconds(300)));
  Node.Schedule.onReadSucceeded(Node.Now);
  // It may come after all of these, and none of them has started yet.
  Node.list(12);
  for (int Count = 0; Count < 20; ++Count) {
    cr_assert(Node.after(milliseconds(100)), "no node reads");
    Node.Schedule.onReadSucceeded(Node.Now);
  }
  const VmName First = placed(12, true);
  cr_assert_neq(First, Node.Self, "the first one must be another node");
  Node.Schedule.onPeerReadStatus(
      First, {.Reader = First, .ReaderAgeMs = 10, .LastSuccessAgeMs = 10},
      Node.Now);
  cr_expect_not(Node.after(milliseconds(100)), "two nodes read");
}

Test(readschedule, the_read_of_a_start_keeps_nobody_from_reading) {
  View Starting(placed(5, true));
  Starting.Schedule.onReadSucceeded(Starting.Now);
  Starting.list(5);
  const PlatformReadStatus News = Starting.Schedule.readStatus(Starting.Now);
  cr_expect(News.Reader.empty(), "one read of a start names a reader");
  cr_expect_lt(News.LastSuccessAgeMs, 100U);
}

Test(readschedule, slow_nodes_read_last) {
  const VmName First = placed(6, true);
  const VmName Last = placed(6, false);
  View Node(Last);
  Node.list(6);
  for (size_t Index = 0; Index < 6; ++Index) {
    const VmName Name("n" + std::to_string(Index));
    if (Name != Last)
      Node.Members.merge(announced(Name, true));
  }
  Node.Schedule.onOrderChanged();
  cr_expect_eq(Node.Order.position(Last), 5U);
  cr_expect_eq(Node.Order.position(First), 6U);
  cr_expect(Node.Order.nodesBefore(Last, 9).empty());
  cr_expect_eq(Node.Order.firstNodes(2).back(), First);
  cr_expect(Node.after(milliseconds(300)), "the only quick node must read");
}

Test(readschedule, means_of_a_vm_decide_who_is_slow) {
  cr_expect_not(isSlowReader({.CpuCores = 0.2, .LinkMbps = 1000}));
  cr_expect_not(isSlowReader({.CpuCores = 0.5, .LinkMbps = 100}));
  cr_expect(isSlowReader({.CpuCores = 0.1, .LinkMbps = 5}));
  cr_expect(isSlowReader({.CpuCores = 1, .LinkMbps = 5}));
  cr_expect(isSlowReader({.CpuCores = 0.05, .LinkMbps = 1000}));
}
