#include "requestqueue.h"

#include <algorithm>
#include <iterator>

namespace bluebellbarrow {

bool RequestQueue::startsBefore(const QueuedRequest &A, const QueuedRequest &B,
                                TimePoint Now) {
  if (A.Priority != B.Priority)
    return A.Priority < B.Priority;
  const bool LateA = A.isLate(Now);
  const bool LateB = B.isLate(Now);
  if (LateA != LateB)
    return LateB;
  return LateA ? A.Deadline < B.Deadline : A.SoftDeadline < B.SoftDeadline;
}

bool RequestQueue::remove(const RequestKey &Key) {
  return std::erase_if(this->Requests, [&Key](const QueuedRequest &Request) {
           return Request.Key == Key;
         }) > 0;
}

const QueuedRequest &RequestQueue::first(TimePoint Now) const {
  return *std::min_element(
      this->Requests.begin(), this->Requests.end(),
      [Now](const QueuedRequest &A, const QueuedRequest &B) {
        return startsBefore(A, B, Now);
      });
}

const QueuedRequest &RequestQueue::last(TimePoint Now) const {
  return *std::max_element(
      this->Requests.begin(), this->Requests.end(),
      [Now](const QueuedRequest &A, const QueuedRequest &B) {
        return startsBefore(A, B, Now);
      });
}

QueuedRequest RequestQueue::popFirst(TimePoint Now) {
  QueuedRequest First = this->first(Now);
  this->remove(First.Key);
  return First;
}

std::vector<QueuedRequest> RequestQueue::removeExpired(TimePoint Now) {
  std::vector<QueuedRequest> Expired;
  std::erase_if(this->Requests, [&](QueuedRequest &Request) {
    // Half of the expected service time, because it is a mean and many requests
    // are faster.
    if (Now + Request.ServiceTime / 2 < Request.Deadline)
      return false;
    Expired.push_back(std::move(Request));
    return true;
  });
  return Expired;
}

std::vector<QueuedRequest> RequestQueue::lateRequests(TimePoint Now) const {
  std::vector<QueuedRequest> Late;
  std::copy_if(
      this->Requests.begin(), this->Requests.end(), std::back_inserter(Late),
      [Now](const QueuedRequest &Request) { return Request.isLate(Now); });
  return Late;
}

std::vector<QueuedRequest> RequestQueue::removeAll() {
  std::vector<QueuedRequest> Removed;
  Removed.swap(this->Requests);
  return Removed;
}

std::vector<Duration>
RequestQueue::serviceTimesAhead(const QueuedRequest &Request,
                                TimePoint Now) const {
  std::vector<Duration> ServiceTimes;
  for (const QueuedRequest &Other : this->Requests)
    if (startsBefore(Other, Request, Now))
      ServiceTimes.push_back(Other.ServiceTime);
  return ServiceTimes;
}

} // namespace bluebellbarrow
