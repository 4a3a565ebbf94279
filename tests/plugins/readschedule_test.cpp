#include "plugins/spread/readcost.h"
#include "plugins/spread/readschedule.h"

#include <criterion/criterion.h>

using namespace bluebellbarrow; // NOLINT: test

namespace {

constexpr ReadScheduleOptions Options = {.ReaderCount = 1,
                                         .TakeoverAge = milliseconds(1200),
                                         .TakeoverStep = milliseconds(100)};

MemberAnnouncement announcement(const VmName &Name, bool IsSlowReader) {
  return {.Name = Name,
          .Incarnation = IncarnationId(1),
          .Sequence = 1,
          .State = MemberState::Serving,
          .IsSlowReader = IsSlowReader};
}

/** One node with its read schedule, in a fleet with one domain. */
struct SimulatedNode {
  explicit SimulatedNode(const VmName &Self)
      : Self(Self), Members(announcement(Self, false)), Order(Nodes, Members),
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

  /** Advances the time; returns whether the node should read then. */
  bool shouldReadAfter(Duration Time) {
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

/** Returns the first or last node of the read order of \a Count nodes. */
VmName firstOrLastNode(size_t Count, bool First) {
  SimulatedNode Any(VmName("n0"));
  Any.list(Count);
  return Any.Nodes.vmAtReadPosition(First ? 0 : Count - 1).Name;
}

} // namespace

// A reader that learns of nodes earlier in the read order must not stop before
// one of them reads, or no node reads for a while.
Test(readschedule, reader_continues_until_an_earlier_node_reads) {
  SimulatedNode Node(VmName("n0"));
  Node.list(1);
  cr_assert(Node.shouldReadAfter(milliseconds(300)));
  Node.Schedule.onReadSucceeded(Node.Now);
  // Nodes that are now earlier in the order have not started yet.
  Node.list(12);
  for (int Count = 0; Count < 20; ++Count) {
    cr_assert(Node.shouldReadAfter(milliseconds(100)), "no node reads");
    Node.Schedule.onReadSucceeded(Node.Now);
  }
  const VmName First = firstOrLastNode(12, true);
  cr_assert_neq(First, Node.Self, "the first node must be another one");
  Node.Schedule.onPeerReadStatus(
      First, {.Reader = First, .ReaderAgeMs = 10, .LastSuccessAgeMs = 10},
      Node.Now);
  cr_expect_not(Node.shouldReadAfter(milliseconds(100)), "two nodes read");
}

// The single read of a starting node must not be reported as that of a reader,
// or the other nodes wait for reads that never come.
Test(readschedule, read_at_startup_names_no_reader) {
  SimulatedNode Starting(firstOrLastNode(5, true));
  Starting.Schedule.onReadSucceeded(Starting.Now);
  Starting.list(5);
  const PlatformReadStatus Status = Starting.Schedule.readStatus(Starting.Now);
  cr_expect(Status.Reader.empty(), "the read at startup names a reader");
  cr_expect_lt(Status.LastSuccessAgeMs, 100U);
}

Test(readschedule, slow_nodes_read_last) {
  const VmName First = firstOrLastNode(6, true);
  const VmName Last = firstOrLastNode(6, false);
  SimulatedNode Node(Last);
  Node.list(6);
  for (size_t Index = 0; Index < 6; ++Index) {
    const VmName Name("n" + std::to_string(Index));
    if (Name != Last)
      Node.Members.merge(announcement(Name, true));
  }
  Node.Schedule.onOrderChanged();
  cr_expect_eq(Node.Order.position(Last), 5U);
  cr_expect_eq(Node.Order.position(First), 6U);
  cr_expect(Node.Order.nodesBefore(Last, 9).empty());
  cr_expect_eq(Node.Order.firstNodes(2).back(), First);
  cr_expect(Node.shouldReadAfter(milliseconds(300)),
            "the only node that is not slow must read");
}

Test(readschedule, cpu_and_link_decide_who_is_a_slow_reader) {
  cr_expect_not(isSlowReader({.CpuCores = 0.2, .LinkMbps = 1000}));
  cr_expect_not(isSlowReader({.CpuCores = 0.5, .LinkMbps = 100}));
  cr_expect(isSlowReader({.CpuCores = 0.1, .LinkMbps = 5}));
  cr_expect(isSlowReader({.CpuCores = 1, .LinkMbps = 5}));
  cr_expect(isSlowReader({.CpuCores = 0.05, .LinkMbps = 1000}));
}
