#ifndef BLUEBELLBARROW_ROUTING_RETRYBUDGETS_H
#define BLUEBELLBARROW_ROUTING_RETRYBUDGETS_H

#include "kernel/ids.h"
#include "retrybudget.h"

#include <map>

namespace bluebellbarrow {

/**
 * The retry budget of this node for each service that it has called.
 *
 * Thread safety: none; owned by one task.
 */
class RetryBudgets {
public:
  /** The seeds of the nodes of a fleet should differ. */
  explicit RetryBudgets(uint64_t Seed) : Seed(Seed) {}

  /**
   * Returns the budget of \a Service, creating it on first use, and sets its
   * options to one node's share of \a RoutePolicy in a fleet of \a Nodes.
   * The reference stays valid.
   */
  RetryBudget &budgetFor(const ServiceName &Service, const Policy &RoutePolicy,
                         size_t Nodes, TimePoint Now);

  const std::map<ServiceName, RetryBudget> &all() const {
    return this->Budgets;
  }

private:
  uint64_t Seed;
  std::map<ServiceName, RetryBudget> Budgets;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_ROUTING_RETRYBUDGETS_H
