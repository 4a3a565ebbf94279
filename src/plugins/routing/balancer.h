#ifndef BLUEBELLBARROW_ROUTING_BALANCER_H
#define BLUEBELLBARROW_ROUTING_BALANCER_H

#include "kernel/clock.h"
#include "kernel/registry.h"
#include "tree/vmlist.h"

#include <random>
#include <span>

namespace bluebellbarrow {

/** An upstream that may be chosen, with the estimates for one request. */
struct UpstreamCandidate {
  const Vm *Upstream = nullptr;

  /** Requests per slot, including the new one; above 1, some are queued. */
  double Load = 0;

  /** Expected time in the queue. */
  Duration ExpectedWait{};

  /** Expected mean service time. */
  Duration ServiceTime{};

  /** Standard deviation of the service time. */
  Duration ServiceTimeDeviation{};

  /** Time left until the soft deadline; negative once it has passed. */
  Duration TimeToSoftDeadline{};

  /** Time left until the deadline. */
  Duration TimeToDeadline{};

  /** Expected bytes of the request and its response. */
  double ExpectedBytes = 0;

  /** Share of recent calls that failed, from 0 to 1. */
  double ErrorRate = 0;

  /** True for the target of this VM. */
  bool IsLocal = false;

  /** True for an upstream in this node's failure domain. */
  bool InSameDomain = false;
};

/**
 * Chooses one of several upstreams.
 *
 * Thread safety: none; owned by one task.
 */
class Balancer {
public:
  virtual ~Balancer() = default;

  /**
   * Returns the index of the chosen candidate.
   *
   * \pre \a Candidates is not empty.
   */
  virtual size_t choose(std::span<const UpstreamCandidate> Candidates,
                        std::mt19937_64 &Random) = 0;
};

using BalancerRegistry = Registry<Balancer>;

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_ROUTING_BALANCER_H
