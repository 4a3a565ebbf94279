#include "retryafterjitter.h"

#include "kernel/httpheaders.h"

#include <array>
#include <chrono>
#include <cstdio>

namespace bluebellbarrow {

namespace {

/** Largest jitter, as a share of the delay. */
constexpr double MaxJitter = 0.5;

} // namespace

void RetryAfterJitter::addHeader(HttpResponse &Response, Duration Delay) {
  std::uniform_real_distribution<double> Factor(1, 1 + MaxJitter);
  const std::chrono::duration<double> Seconds = Delay;
  std::array<char, 32> Text{};
  std::snprintf(Text.data(), Text.size(), "%.3f",
                Seconds.count() * Factor(this->Random));
  Response.Headers.push_back({header::RetryAfter, Text.data()});
}

} // namespace bluebellbarrow
