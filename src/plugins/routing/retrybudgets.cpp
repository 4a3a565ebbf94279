#include "retrybudgets.h"

namespace bluebellbarrow {

RetryBudget &RetryBudgets::budgetFor(const ServiceName &Service,
                                     const Policy &Rules, size_t Nodes,
                                     TimePoint Now) {
  const RetryBudgetOptions Share = splitRetryBudget(Rules, Nodes);
  const auto [Known, New] = this->Budgets.try_emplace(Service, Share, Now);
  if (!New)
    Known->second.setOptions(Share);
  return Known->second;
}

} // namespace bluebellbarrow
