#include "plugins/http/stopplan.h"

#include <criterion/criterion.h>

using namespace bluebellbarrow; // NOLINT: test

namespace {

const TimePoint Start = TimePoint(seconds(1000));

StopPlan begunPlan() {
  StopPlan Plan;
  Plan.begin({.LeaveTime = seconds(2), .Limit = seconds(6)}, Start);
  return Plan;
}

} // namespace

Test(stopplan, serves_until_callers_have_left) {
  const StopPlan Plan = begunPlan();
  cr_expect_eq(StopPlan().phase(Start), StopPhase::Running);
  cr_expect_eq(Plan.phase(Start), StopPhase::Leaving);
  cr_expect_eq(Plan.phase(Start + seconds(2)), StopPhase::Draining);
  cr_expect_not(Plan.finished(0, Start, Start + milliseconds(1999)));
  cr_expect_not(Plan.finished(0, Start, Start + milliseconds(2050)));
  cr_expect(Plan.finished(0, Start, Start + milliseconds(2100)));
}

Test(stopplan, waits_for_open_requests_and_their_last_bytes) {
  const StopPlan Plan = begunPlan();
  const TimePoint Late = Start + milliseconds(3500);
  cr_expect_not(Plan.finished(1, Start, Late));
  cr_expect_not(Plan.finished(0, Late - milliseconds(50), Late));
  cr_expect(Plan.finished(0, Late - milliseconds(100), Late));
}

Test(stopplan, ends_before_it_is_killed) {
  const StopPlan Plan = begunPlan();
  const TimePoint Kill = Start + seconds(6);
  cr_expect_not(Plan.finished(1, Kill, Kill - milliseconds(900)));
  cr_expect(Plan.finished(1, Kill, Kill - milliseconds(300)));
}

Test(stopplan, a_second_signal_changes_nothing) {
  StopPlan Plan = begunPlan();
  Plan.begin({.LeaveTime = seconds(2), .Limit = seconds(6)},
             Start + seconds(5));
  cr_expect_eq(Plan.phase(Start + seconds(3)), StopPhase::Draining);
}
