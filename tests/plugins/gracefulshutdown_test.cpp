#include "plugins/http/gracefulshutdown.h"

#include <criterion/criterion.h>

using namespace bluebellbarrow; // NOLINT: test

namespace {

const TimePoint Start = TimePoint(seconds(1000));

GracefulShutdown begunPlan() {
  GracefulShutdown Plan;
  Plan.begin({.LeaveGracePeriod = seconds(2), .Timeout = seconds(6)}, Start);
  return Plan;
}

} // namespace

Test(stopplan, serves_until_callers_have_left) {
  const GracefulShutdown Plan = begunPlan();
  cr_expect_eq(GracefulShutdown().phase(Start), ShutdownPhase::Running);
  cr_expect_eq(Plan.phase(Start), ShutdownPhase::Leaving);
  cr_expect_eq(Plan.phase(Start + seconds(2)), ShutdownPhase::Draining);
  cr_expect_not(Plan.mayExit(0, Start, Start + milliseconds(1999)));
  cr_expect_not(Plan.mayExit(0, Start, Start + milliseconds(2050)));
  cr_expect(Plan.mayExit(0, Start, Start + milliseconds(2100)));
}

Test(stopplan, waits_for_open_requests_and_their_last_bytes) {
  const GracefulShutdown Plan = begunPlan();
  const TimePoint Late = Start + milliseconds(3500);
  cr_expect_not(Plan.mayExit(1, Start, Late));
  cr_expect_not(Plan.mayExit(0, Late - milliseconds(50), Late));
  cr_expect(Plan.mayExit(0, Late - milliseconds(100), Late));
}

Test(stopplan, ends_before_it_is_killed) {
  const GracefulShutdown Plan = begunPlan();
  const TimePoint Kill = Start + seconds(6);
  cr_expect_not(Plan.mayExit(1, Kill, Kill - milliseconds(900)));
  cr_expect(Plan.mayExit(1, Kill, Kill - milliseconds(300)));
}

Test(stopplan, a_second_signal_changes_nothing) {
  GracefulShutdown Plan = begunPlan();
  Plan.begin({.LeaveGracePeriod = seconds(2), .Timeout = seconds(6)},
             Start + seconds(5));
  cr_expect_eq(Plan.phase(Start + seconds(3)), ShutdownPhase::Draining);
}
