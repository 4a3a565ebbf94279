#include "admission.h"

#include <algorithm>

namespace bluebellbarrow {

namespace {

/** Longer than the longest deadline that a tree may set. */
constexpr Duration SeenMemory = seconds(90);

/** Weight of the newest run in the mean. */
constexpr double RunWeight = 0.1;

} // namespace

Admission::Admission(AdmissionLimits Limits)
    : Limits(Limits), Seen(SeenMemory) {}

bool Admission::maySlot(TimePoint Now) const {
  return !this->Draining && Now >= this->Hold &&
         this->Running.size() < this->Limits.Slots;
}

bool Admission::tooLate(TimePoint Deadline, size_t Ahead, TimePoint Now) const {
  const double Rounds =
      static_cast<double>(Ahead + 1) / static_cast<double>(this->Limits.Slots);
  const std::chrono::duration<double> Wait(Rounds * this->MeanRun);
  return Now + std::chrono::duration_cast<Duration>(Wait) >= Deadline;
}

AdmitResult Admission::refuse(const RequestKey &Key, const std::string &Reason,
                              TimePoint Now) {
  this->Seen.set(Key, SeenState::NotRun, Now);
  return {.What = Admitted::Refuse, .Reason = Reason};
}

AdmitResult Admission::admit(const RequestKey &Key, TimePoint Deadline,
                             TimePoint Now) {
  this->Seen.expire(Now);
  const std::optional<SeenState> Known = this->Seen.find(Key);
  if (Known == SeenState::NotRun)
    return {.What = Admitted::Refuse, .Reason = "cancelled"};
  if (Known)
    return {.What = Admitted::Refuse, .Reason = "seen", .Duplicate = true};
  if (this->Draining)
    return this->refuse(Key, "target is draining", Now);
  if (Now >= Deadline)
    return this->refuse(Key, "deadline is over", Now);
  if (this->Waiting.empty() && this->maySlot(Now)) {
    this->start(Key, Now);
    return {.What = Admitted::Start, .Reason = {}};
  }
  if (this->Waiting.size() >= this->Limits.Queue)
    return this->refuse(Key, "queue is full", Now);
  if (this->tooLate(Deadline, this->Waiting.size(), Now))
    return this->refuse(Key, "would wait past the deadline", Now);
  this->Waiting.push_back({.Key = Key, .Deadline = Deadline});
  this->Seen.set(Key, SeenState::Queued, Now);
  return {.What = Admitted::Queue, .Reason = {}};
}

void Admission::start(const RequestKey &Key, TimePoint Now) {
  this->Running.push_back({.Key = Key, .Time = Now});
  this->Seen.set(Key, SeenState::Running, Now);
}

void Admission::onFinished(const RequestKey &Key, TimePoint Now) {
  const auto Found =
      std::find_if(this->Running.begin(), this->Running.end(),
                   [&Key](const Started &Each) { return Each.Key == Key; });
  if (Found == this->Running.end())
    return;
  const std::chrono::duration<double> Run = Now - Found->Time;
  this->MeanRun += RunWeight * (Run.count() - this->MeanRun);
  this->Running.erase(Found);
  this->Seen.set(Key, SeenState::Finished, Now);
}

void Admission::onNotRun(const RequestKey &Key, TimePoint Now) {
  std::erase_if(this->Running,
                [&Key](const Started &Each) { return Each.Key == Key; });
  this->Seen.set(Key, SeenState::NotRun, Now);
}

std::vector<Dequeued> Admission::poll(TimePoint Now) {
  std::vector<Dequeued> Left;
  const auto GiveUp = [&](const Waiter &Each) {
    if (Now < Each.Deadline && !this->Draining)
      return false;
    this->Seen.set(Each.Key, SeenState::NotRun, Now);
    Left.push_back(
        {.Key = Each.Key,
         .Start = false,
         .Reason = this->Draining ? "target is draining" : "deadline is over"});
    return true;
  };
  std::erase_if(this->Waiting, GiveUp);
  while (!this->Waiting.empty() && this->maySlot(Now)) {
    const RequestKey Key = this->Waiting.front().Key;
    this->Waiting.pop_front();
    this->start(Key, Now);
    Left.push_back({.Key = Key, .Start = true, .Reason = {}});
  }
  return Left;
}

CancelState Admission::cancel(const RequestKey &Key, TimePoint Now) {
  const std::optional<SeenState> Known = this->Seen.find(Key);
  if (Known == SeenState::Running)
    return CancelState::Running;
  if (Known == SeenState::Finished)
    return CancelState::Finished;
  std::erase_if(this->Waiting,
                [&Key](const Waiter &Each) { return Each.Key == Key; });
  if (Known != SeenState::NotRun)
    this->Seen.set(Key, SeenState::NotRun, Now);
  return CancelState::NotRun;
}

} // namespace bluebellbarrow
