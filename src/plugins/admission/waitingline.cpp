#include "waitingline.h"

#include <algorithm>
#include <iterator>

namespace bluebellbarrow {

bool WaitingLine::startsBefore(const WaitingRequest &A, const WaitingRequest &B,
                               TimePoint Now) {
  if (A.Priority != B.Priority)
    return A.Priority < B.Priority;
  const bool LateA = A.late(Now);
  const bool LateB = B.late(Now);
  if (LateA != LateB)
    return LateB;
  return LateA ? A.Deadline < B.Deadline : A.Aim < B.Aim;
}

bool WaitingLine::remove(const RequestKey &Key) {
  return std::erase_if(this->Waiting, [&Key](const WaitingRequest &Each) {
           return Each.Key == Key;
         }) > 0;
}

const WaitingRequest &WaitingLine::first(TimePoint Now) const {
  return *std::min_element(
      this->Waiting.begin(), this->Waiting.end(),
      [Now](const WaitingRequest &A, const WaitingRequest &B) {
        return startsBefore(A, B, Now);
      });
}

const WaitingRequest &WaitingLine::last(TimePoint Now) const {
  return *std::max_element(
      this->Waiting.begin(), this->Waiting.end(),
      [Now](const WaitingRequest &A, const WaitingRequest &B) {
        return startsBefore(A, B, Now);
      });
}

WaitingRequest WaitingLine::takeFirst(TimePoint Now) {
  WaitingRequest Taken = this->first(Now);
  this->remove(Taken.Key);
  return Taken;
}

std::vector<WaitingRequest> WaitingLine::takeHopeless(TimePoint Now) {
  std::vector<WaitingRequest> Taken;
  std::erase_if(this->Waiting, [&](WaitingRequest &Each) {
    // Half of the work: a run may well be shorter than the mean.
    if (Now + Each.Work / 2 < Each.Deadline)
      return false;
    Taken.push_back(std::move(Each));
    return true;
  });
  return Taken;
}

std::vector<WaitingRequest> WaitingLine::late(TimePoint Now) const {
  std::vector<WaitingRequest> Found;
  std::copy_if(this->Waiting.begin(), this->Waiting.end(),
               std::back_inserter(Found),
               [Now](const WaitingRequest &Each) { return Each.late(Now); });
  return Found;
}

std::vector<WaitingRequest> WaitingLine::takeAll() {
  std::vector<WaitingRequest> Taken;
  Taken.swap(this->Waiting);
  return Taken;
}

std::vector<Duration> WaitingLine::workAhead(const WaitingRequest &Request,
                                             TimePoint Now) const {
  std::vector<Duration> Work;
  for (const WaitingRequest &Each : this->Waiting)
    if (startsBefore(Each, Request, Now))
      Work.push_back(Each.Work);
  return Work;
}

} // namespace bluebellbarrow
