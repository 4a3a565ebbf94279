#include "readcost.h"

#include "kernel/clock.h"

namespace bluebellbarrow {

namespace {

/** Bytes of a platform's answer with some hundred routes. */
constexpr double WholeReadBytes = 256 * 1024;

/** Bytes of an answer that a whole core decodes in a second. */
constexpr double DecodedBytesPerSecond = 12e6;

/** Time that a whole read may take a node that reads for others. */
constexpr double LongestSeconds = 0.3;

constexpr double BitsPerByte = 8;
constexpr double BitsPerMegabit = 1e6;

} // namespace

bool isSlowReader(const ResourceLimits &Machine) {
  const double Transfer =
      WholeReadBytes * BitsPerByte / (Machine.LinkMbps * BitsPerMegabit);
  const double Decoding =
      WholeReadBytes / DecodedBytesPerSecond / Machine.CpuCores;
  return Transfer + Decoding > LongestSeconds;
}

} // namespace bluebellbarrow
