#include "plugins/http/gracefulshutdown.h"

#include <criterion/criterion.h>

using namespace bluebellbarrow; // NOLINT: test

namespace {

const TimePoint Start = TimePoint(seconds(1000));

GracefulShutdown startedShutdown() {
  GracefulShutdown Shutdown;
  Shutdown.begin({.LeaveGracePeriod = seconds(2), .Timeout = seconds(6)},
                 Start);
  return Shutdown;
}

} // namespace

Test(stopplan, serves_during_the_grace_period) {
  const GracefulShutdown Shutdown = startedShutdown();
  cr_expect_eq(GracefulShutdown().phase(Start), ShutdownPhase::Running);
  cr_expect_eq(Shutdown.phase(Start), ShutdownPhase::Leaving);
  cr_expect_eq(Shutdown.phase(Start + seconds(2)), ShutdownPhase::Draining);
  cr_expect_not(Shutdown.mayExit(0, Start, Start + milliseconds(1999)));
  cr_expect_not(Shutdown.mayExit(0, Start, Start + milliseconds(2050)));
  cr_expect(Shutdown.mayExit(0, Start, Start + milliseconds(2100)));
}

Test(stopplan, waits_for_open_requests_and_idle_time) {
  const GracefulShutdown Shutdown = startedShutdown();
  const TimePoint DrainTime = Start + milliseconds(3500);
  cr_expect_not(Shutdown.mayExit(1, Start, DrainTime));
  cr_expect_not(Shutdown.mayExit(0, DrainTime - milliseconds(50), DrainTime));
  cr_expect(Shutdown.mayExit(0, DrainTime - milliseconds(100), DrainTime));
}

Test(stopplan, exits_before_the_timeout) {
  const GracefulShutdown Shutdown = startedShutdown();
  const TimePoint KillTime = Start + seconds(6);
  cr_expect_not(Shutdown.mayExit(1, KillTime, KillTime - milliseconds(900)));
  cr_expect(Shutdown.mayExit(1, KillTime, KillTime - milliseconds(300)));
}

Test(stopplan, a_second_begin_has_no_effect) {
  GracefulShutdown Shutdown = startedShutdown();
  Shutdown.begin({.LeaveGracePeriod = seconds(2), .Timeout = seconds(6)},
                 Start + seconds(5));
  cr_expect_eq(Shutdown.phase(Start + seconds(3)), ShutdownPhase::Draining);
}
