#include "plugins/routing/upstreamview.h"
#include "tree/snapshotdefaults.h"

#include <criterion/criterion.h>

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
