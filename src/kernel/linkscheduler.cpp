#include "linkscheduler.h"

#include "task.h"

#include <algorithm>

namespace bluebellbarrow {

namespace {

/** Time for which a piece may occupy the link, within the sizes below. */
constexpr double PieceSeconds = 0.002;

constexpr double MinPieceBytes = 16.0 * 1024;
constexpr double MaxPieceBytes = 128.0 * 1024;

} // namespace

LinkScheduler::LinkScheduler(Task &Owner, double BytesPerSecond)
    : Pacer(BytesPerSecond, Task::now()),
      Piece(static_cast<size_t>(std::clamp(BytesPerSecond * PieceSeconds,
                                           MinPieceBytes, MaxPieceBytes))),
      TurnTimer(Owner, [this] { this->run(); }) {}

LinkScheduler::SenderId LinkScheduler::addSender(WritePiece Write) {
  const SenderId Id = ++this->LastId;
  this->Senders.emplace(Id, std::move(Write));
  return Id;
}

void LinkScheduler::removeSender(SenderId Id) {
  this->Senders.erase(Id);
  std::erase(this->Turns, Id);
}

void LinkScheduler::addTurn(SenderId Id) {
  if (std::find(this->Turns.begin(), this->Turns.end(), Id) ==
      this->Turns.end())
    this->Turns.push_back(Id);
}

void LinkScheduler::requestTurns(SenderId Id) {
  this->addTurn(Id);
  if (this->Scheduled)
    return;
  this->Scheduled = true;
  this->TurnTimer.start(this->Pacer.timeToNextPiece(Task::now()));
}

void LinkScheduler::run() {
  this->Scheduled = false;
  const TimePoint Now = Task::now();
  while (!this->Turns.empty() &&
         this->Pacer.timeToNextPiece(Now) == Duration::zero()) {
    const SenderId Id = this->Turns.front();
    this->Turns.pop_front();
    // The handler may remove its sender, and others.
    const WritePiece Write = this->Senders.at(Id);
    const size_t Bytes = Write();
    this->Pacer.onWritten(Bytes, Now);
    this->removeBacklog(Bytes);
    if (Bytes > 0 && this->Senders.contains(Id))
      this->addTurn(Id);
  }
  if (this->Turns.empty() || this->Scheduled)
    return;
  this->Scheduled = true;
  this->TurnTimer.start(this->Pacer.timeToNextPiece(Now));
}

void LinkScheduler::onShortMessage(size_t Bytes) {
  this->Pacer.onWritten(Bytes, Task::now());
}

void LinkScheduler::removeBacklog(size_t Bytes) {
  this->BacklogBytes -= std::min(Bytes, this->BacklogBytes);
}

void LinkScheduler::release(size_t Bytes) {
  this->ReservedBytes -= std::min(Bytes, this->ReservedBytes);
}

Duration LinkScheduler::timeToClear() const {
  return this->Pacer.timeToCarry(
      static_cast<double>(this->BacklogBytes + this->ReservedBytes));
}

} // namespace bluebellbarrow
