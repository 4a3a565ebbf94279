#include "retrybudgets.h"

#include "kernel/hashing.h"

namespace bluebellbarrow {

RetryBudget &RetryBudgets::budgetFor(const ServiceName &Service,
                                     const Policy &RoutePolicy, size_t Nodes,
                                     TimePoint Now) {
  const RetryBudgetOptions Options = splitRetryBudget(RoutePolicy, Nodes);
  const auto [Position, Inserted] = this->Budgets.try_emplace(
      Service, Options, this->Seed + stableHash(Service.str()), Now);
  if (!Inserted)
    Position->second.setOptions(Options);
  return Position->second;
}

} // namespace bluebellbarrow
