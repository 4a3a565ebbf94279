#ifndef BLUEBELLBARROW_ROUTING_BALANCER_H
#define BLUEBELLBARROW_ROUTING_BALANCER_H

#include "kernel/clock.h"
#include "kernel/registry.h"
#include "tree/vmlist.h"

#include <random>
#include <span>

namespace bluebellbarrow {

/** An upstream that may be chosen, with what is known of its load. */
struct Candidate {
  const Vm *Upstream = nullptr;

  /** Work per slot: 0 is idle, above 1 means that requests wait. */
  double Load = 0;

  /** Time that the request would wait for a slot. */
  Duration ExpectedWait{};

  /** Time that the target would take for the request. */
  Duration ServiceTime{};

  /** Deviation of that time. */
  Duration ServiceTimeDeviation{};

  /** Time that is left in which an answer is of full use. */
  Duration TimeToSoftDeadline{};

  /** Time that is left in which an answer is of any use. */
  Duration TimeToDeadline{};

  /** Bytes that the request and its answer are expected to have. */
  double ExpectedBytes = 0;

  /** Share of recent calls that failed, from 0 to 1. */
  double ErrorRate = 0;

  /** True for the target beside this node. */
  bool IsLocal = false;

  /** True when it is in this node's failure domain. */
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

  /** Returns the index of the chosen one. \pre \a From is not empty. */
  virtual size_t choose(std::span<const Candidate> From,
                        std::mt19937_64 &Random) = 0;
};

using BalancerRegistry = Registry<Balancer>;

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_ROUTING_BALANCER_H
