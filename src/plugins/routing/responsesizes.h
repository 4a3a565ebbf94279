#ifndef BLUEBELLBARROW_ROUTING_RESPONSESIZES_H
#define BLUEBELLBARROW_ROUTING_RESPONSESIZES_H

#include "kernel/ids.h"

#include <cstddef>
#include <unordered_map>

namespace bluebellbarrow {

/** Mean size of responses, in bytes, from which their way over a link counts.
 */
inline constexpr double MinLinkResponseBytes = 16.0 * 1024;

/**
 * Moving means of the sizes of responses by route, in bytes.
 *
 * Thread safety: none; owned by one task.
 */
class ResponseSizes {
public:
  /** Adds the size of one response. */
  void add(const RouteName &Route, size_t Bytes) {
    const auto Size = static_cast<double>(Bytes);
    const auto [Position, Inserted] = this->Means.try_emplace(Route, Size);
    if (!Inserted)
      Position->second += NewestWeight * (Size - Position->second);
  }

  /** Returns the mean size for a route; 0 before its first response. */
  double mean(const RouteName &Route) const {
    const auto Known = this->Means.find(Route);
    return Known == this->Means.end() ? 0 : Known->second;
  }

private:
  /** Weight of the newest response. */
  static constexpr double NewestWeight = 0.05;

  std::unordered_map<RouteName, double> Means;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_ROUTING_RESPONSESIZES_H
