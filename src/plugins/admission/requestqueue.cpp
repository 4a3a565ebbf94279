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
  return std::erase_if(this->Requests, [&Key](const QueuedRequest &Each) {
           return Each.Key == Key;
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
  QueuedRequest Taken = this->first(Now);
  this->remove(Taken.Key);
  return Taken;
}

std::vector<QueuedRequest> RequestQueue::removeExpired(TimePoint Now) {
  std::vector<QueuedRequest> Taken;
  std::erase_if(this->Requests, [&](QueuedRequest &Each) {
    // Half of the work: a run may well be shorter than the mean.
    if (Now + Each.ServiceTime / 2 < Each.Deadline)
      return false;
    Taken.push_back(std::move(Each));
    return true;
  });
  return Taken;
}

std::vector<QueuedRequest> RequestQueue::lateRequests(TimePoint Now) const {
  std::vector<QueuedRequest> Found;
  std::copy_if(this->Requests.begin(), this->Requests.end(),
               std::back_inserter(Found),
               [Now](const QueuedRequest &Each) { return Each.isLate(Now); });
  return Found;
}

std::vector<QueuedRequest> RequestQueue::removeAll() {
  std::vector<QueuedRequest> Taken;
  Taken.swap(this->Requests);
  return Taken;
}

std::vector<Duration>
RequestQueue::serviceTimesAhead(const QueuedRequest &Request,
                                TimePoint Now) const {
  std::vector<Duration> Work;
  for (const QueuedRequest &Each : this->Requests)
    if (startsBefore(Each, Request, Now))
      Work.push_back(Each.ServiceTime);
  return Work;
}

} // namespace bluebellbarrow
