#include "seenrequests.h"

namespace bluebellbarrow {

std::optional<RequestState> SeenRequests::find(const RequestKey &Key) const {
  const auto Found = this->States.find(Key);
  if (Found == this->States.end())
    return std::nullopt;
  return Found->second;
}

void SeenRequests::set(const RequestKey &Key, RequestState State,
                       TimePoint Now) {
  this->States[Key] = State;
  if (State == RequestState::Finished || State == RequestState::NotRun)
    this->Expiries.push_back({.Due = Now + this->Retention, .Key = Key});
}

void SeenRequests::expire(TimePoint Now) {
  while (!this->Expiries.empty() && this->Expiries.front().Due <= Now) {
    this->States.erase(this->Expiries.front().Key);
    this->Expiries.pop_front();
  }
}

} // namespace bluebellbarrow
