#include "kernel/log.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <array>
#include <fcntl.h>
#include <string>
#include <unistd.h>

using namespace bluebellbarrow; // NOLINT: test

namespace {

/** Returns the bytes that the non-blocking \a Pipe holds. */
std::string readAll(int Pipe) {
  std::string Text;
  std::array<char, 4096> Buffer{};
  ssize_t Length = 0;
  while ((Length = read(Pipe, Buffer.data(), Buffer.size())) > 0)
    Text.append(Buffer.data(), static_cast<size_t>(Length));
  return Text;
}

} // namespace

// Guards against a flood of log lines: in a large fleet, every node announces
// its state within a second, each with a line of the same step.
Test(log, lines_of_one_step_are_rate_limited) {
  std::array<int, 2> Pipe{};
  cr_assert_eq(pipe2(Pipe.data(), O_NONBLOCK), 0);
  dup2(Pipe[1], STDERR_FILENO);
  constexpr int PerSecond = 10;
  initLog({.Json = true, .EventsPerSecond = PerSecond});
  for (int Number = 0; Number < 300; ++Number)
    logMessage(LogLevel::Info, {.Step = "vm-list state", .Peer = "10.0.0.1"},
               std::to_string(Number));
  logMessage(LogLevel::Info, {.Step = "config applied"}, "last");
  flushLog();

  const std::string Text = readAll(Pipe[0]);
  const auto Lines = std::count(Text.begin(), Text.end(), '\n');
  cr_expect_geq(Lines, PerSecond);
  cr_expect_leq(Lines, 2 * PerSecond + 1, "%d lines", static_cast<int>(Lines));
  cr_expect(Text.find("config applied") != std::string::npos);
}
