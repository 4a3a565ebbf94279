#include "readcost.h"

#include "kernel/clock.h"

namespace bluebellbarrow {

namespace {

/** Size of a platform's response with some hundred routes, in bytes. */
constexpr double FullReadBytes = 256 * 1024;

/** Bytes of a response that one full core decodes per second. */
constexpr double DecodedBytesPerSecond = 12e6;

/** Maximum time of a full read at a node that reads for others. */
constexpr double MaxReadSeconds = 0.3;

constexpr double BitsPerByte = 8;
constexpr double BitsPerMegabit = 1e6;

} // namespace

bool isSlowReader(const ResourceLimits &Limits) {
  const double TransferSeconds =
      FullReadBytes * BitsPerByte / (Limits.LinkMbps * BitsPerMegabit);
  const double DecodeSeconds =
      FullReadBytes / DecodedBytesPerSecond / Limits.CpuCores;
  return TransferSeconds + DecodeSeconds > MaxReadSeconds;
}

} // namespace bluebellbarrow
