#include "plugins/routing/upstreamview.h"
#include "tree/snapshotdefaults.h"

#include <criterion/criterion.h>

#include <random>

using namespace bluebellbarrow; // NOLINT: test

namespace {

const TimePoint Start = TimePoint(seconds(1000));

constexpr Duration ReportInterval = seconds(3);
constexpr Duration ServiceTime = milliseconds(100);
constexpr uint16_t Slots = 6;

LoadReport busyReport(Duration Wait) {
  LoadReport Report{.SlotsUsed = Slots, .Slots = Slots, .Queued = 8};
  Report.ExpectedWaitMicros.fill(static_cast<uint32_t>(toMicroseconds(Wait)));
  return Report;
}

LoadReport idleReport() { return {.SlotsUsed = 1, .Slots = Slots}; }

UpstreamView makeView() { return {Vm{.Name = VmName("a")}, true, Start}; }

/** Applies \a Count reports, one per ReportInterval; returns the last time. */
TimePoint reportOften(UpstreamView &View, const LoadReport &Report, int Count) {
  for (int Index = 1; Index <= Count; ++Index)
    View.onLoad(Report, Start + ReportInterval * Index);
  return Start + ReportInterval * Count;
}

int64_t expectedWaitMillis(const UpstreamView &View, TimePoint Now) {
  return toMilliseconds(View.expectedWait(defaultPolicy(), ServiceTime, Now));
}

/** Longest time for which a state that is no longer true may exclude. */
constexpr Duration StaleStateLimit = seconds(2);

Vm restartedTarget(int64_t StartUnixMillis) {
  return {.Name = VmName("a"),
          .Target = TargetInstanceId("i-1"),
          .TargetStartUnixMillis = StartUnixMillis,
          .RemainingWarmUp = seconds(4)};
}

MemberAnnouncement announce(uint64_t Incarnation, uint32_t Sequence,
                            MemberState State) {
  return {.Name = VmName("a"),
          .Incarnation = IncarnationId(Incarnation),
          .Sequence = Sequence,
          .State = State};
}

LoadReport drainingReport() {
  LoadReport Report = busyReport(milliseconds(300));
  Report.State = MemberState::Draining;
  return Report;
}

} // namespace

Test(upstreamview, an_upstream_that_is_always_busy_stays_so_between_reports) {
  UpstreamView View = makeView();
  const TimePoint Last = reportOften(View, busyReport(milliseconds(300)), 5);
  cr_expect_eq(expectedWaitMillis(View, Last), 300);
  cr_expect_eq(expectedWaitMillis(View, Last + ReportInterval), 300);
  cr_expect_gt(View.load(defaultPolicy(), Last + ReportInterval), 2);
}

Test(upstreamview, one_busy_report_of_an_idle_upstream_is_forgotten) {
  UpstreamView View = makeView();
  const TimePoint Last = reportOften(View, idleReport(), 10);
  View.onLoad(busyReport(milliseconds(300)), Last);
  cr_expect_eq(expectedWaitMillis(View, Last), 300);
  cr_expect_lt(expectedWaitMillis(View, Last + ReportInterval), 100);
}

Test(upstreamview, one_idle_report_of_a_busy_upstream_is_forgotten) {
  UpstreamView View = makeView();
  const TimePoint Last = reportOften(View, busyReport(milliseconds(300)), 10);
  View.onLoad(idleReport(), Last);
  cr_expect_eq(expectedWaitMillis(View, Last), 0);
  cr_expect_gt(expectedWaitMillis(View, Last + ReportInterval), 200);
}

// Guards against a report, "draining", that outlives the node which sent it:
// the upstream was never used again after its node had restarted.
Test(upstreamview, reports_of_a_node_end_when_it_starts_again) {
  UpstreamView View = makeView();
  View.onAnnouncement(announce(1, 1, MemberState::Serving));
  View.onLoad(drainingReport(), Start);
  cr_expect(View.exclusion(Start) == Exclusion::ReportedState);
  View.onAnnouncement(announce(2, 0, MemberState::Starting));
  cr_expect(View.exclusion(Start) == Exclusion::AnnouncedState);
  View.onAnnouncement(announce(2, 1, MemberState::Serving));
  cr_expect(View.acceptsRequests(Start));
  cr_expect_eq(expectedWaitMillis(View, Start), 0);
  cr_expect_lt(View.load(defaultPolicy(), Start), 1);
}

// Guards against the same without an announcement, or with one that overtook
// the report.
Test(upstreamview, a_reported_state_holds_for_a_limited_time) {
  UpstreamView View = makeView();
  View.onAnnouncement(announce(2, 1, MemberState::Serving));
  View.onLoad(drainingReport(), Start);
  cr_expect_not(View.acceptsRequests(Start));
  cr_expect(View.acceptsRequests(Start + StaleStateLimit));
}

// Guards against what an earlier process of a target did: it was not used
// again, or got too much while it was still slow.
Test(upstreamview, a_target_that_starts_again_under_its_id_starts_afresh) {
  UpstreamView View(restartedTarget(1000), true, Start);
  const TimePoint Later = Start + seconds(60);
  for (int Failure = 0; Failure < 5; ++Failure) {
    View.onSent(Later);
    View.onAttemptEnd(AttemptResult::Failed, Later);
  }
  View.onLoad(drainingReport(), Later);
  cr_expect(View.ejected(Later));
  cr_expect_not(View.acceptsRequests(Later));
  View.update(restartedTarget(1000), Later);
  cr_expect(View.ejected(Later));
  View.update(restartedTarget(2000), Later);
  cr_expect_not(View.ejected(Later));
  cr_expect(View.acceptsRequests(Later));
  cr_expect_eq(View.errorRate(), 0);
  cr_expect_geq(View.expectedServiceTime(ServiceTime, defaultPolicy(), Later),
                2 * ServiceTime);
}

// Guards against any order of reports, announcements and restarts, some of
// them lost or late, that leaves an upstream unused when all is quiet.
Test(upstreamview, any_history_ends_with_an_upstream_that_is_used) {
  for (unsigned Seed = 1; Seed <= 2000; ++Seed) {
    std::mt19937 Random(Seed);
    const auto Draw = [&Random](uint32_t Bound) { return Random() % Bound; };
    UpstreamView View(restartedTarget(1000), Draw(2) == 0, Start);
    TimePoint Now = Start;
    MemberAnnouncement Node = announce(1, 0, MemberState::Starting);
    int64_t TargetStart = 1000;
    for (int Step = 0; Step < 40; ++Step) {
      Now += milliseconds(Draw(400));
      switch (Draw(6)) {
      case 0:
        Node = announce(Node.Incarnation.value() + 1, 0, MemberState::Starting);
        break;
      case 1:
        Node.Sequence += 1;
        Node.State = static_cast<MemberState>(Draw(4));
        break;
      case 2:
        View.onAnnouncement(Node);
        break;
      case 3: {
        LoadReport Report = busyReport(milliseconds(Draw(500)));
        Report.State = static_cast<MemberState>(Draw(4));
        View.onLoad(Report, Now);
        break;
      }
      case 4:
        TargetStart += static_cast<int64_t>(Draw(2));
        View.update(restartedTarget(TargetStart), Now);
        break;
      default:
        View.onSent(Now);
        View.onAttemptEnd(static_cast<AttemptResult>(Draw(6)), Now);
      }
    }
    Node.Sequence += 1;
    Node.State = MemberState::Serving;
    View.onAnnouncement(Node);
    cr_expect(View.acceptsRequests(Now + StaleStateLimit), "seed %u", Seed);
  }
}
