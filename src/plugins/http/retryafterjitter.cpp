#include "retryafterjitter.h"

#include "kernel/httpheaders.h"

#include <array>
#include <chrono>
#include <cstdio>

namespace bluebellbarrow {

namespace {

/** Share by which the time to come back is spread. */
constexpr double Spread = 0.5;

} // namespace

void RetryAfterJitter::addHeader(HttpResponse &Response, Duration Time) {
  std::uniform_real_distribution<double> Draw(1, 1 + Spread);
  const std::chrono::duration<double> Seconds = Time;
  std::array<char, 32> Text{};
  std::snprintf(Text.data(), Text.size(), "%.3f",
                Seconds.count() * Draw(this->Random));
  Response.Headers.push_back({header::RetryAfter, Text.data()});
}

} // namespace bluebellbarrow
