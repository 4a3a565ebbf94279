#include "closingconnections.h"

#include "task.h"

#include <algorithm>

namespace bluebellbarrow {

namespace {

constexpr Duration PollPeriod = milliseconds(100);

} // namespace

struct ClosingConnections::Entry {
  Entry(std::unique_ptr<TcpConnection> NewConnection, TimePoint Now)
      : Connection(std::move(NewConnection)), Progress(Now) {}

  std::unique_ptr<TcpConnection> Connection;
  SendProgress Progress;
};

ClosingConnections::ClosingConnections(Task &Owner,
                                       const ClosingOptions &Options,
                                       StallHandler OnStalled)
    : Owner(Owner), Options(Options), OnStalled(std::move(OnStalled)),
      PollTimer(Owner, [this] { this->poll(); }) {}

ClosingConnections::~ClosingConnections() {
  *this->Alive = false;
  // What the socket already holds still reaches the peer.
  for (const auto &[Id, Ended] : this->Closing)
    Ended->Connection->setResetOnDestruction(Ended->Connection->queuedBytes() >
                                             0);
}

void ClosingConnections::add(std::unique_ptr<TcpConnection> New) {
  if (New == nullptr || !New->isReady())
    return;
  const TimePoint Now = Task::now();
  const EntryId Id = ++this->LastId;
  TcpConnection &Connection = *New;
  // Posted, so that the connection is not destroyed within its own handlers.
  const auto Remove = [this, Id, AliveFlag = this->Alive] {
    this->Owner.post([this, Id, AliveFlag] {
      if (*AliveFlag)
        this->Closing.erase(Id);
    });
  };
  Connection.setEvents({.Connected = nullptr,
                        .Received = [](std::string_view) {},
                        .Closed = [Remove](TcpCloseReason) { Remove(); },
                        .Drained = [&Connection] { Connection.endSending(); }});
  if (this->Closing.empty())
    this->PollTimer.start(PollPeriod);
  auto Added = std::make_unique<Entry>(std::move(New), Now);
  Connection.setReadEnabled(true);
  if (Connection.queuedBytes() == 0)
    Connection.endSending();
  Added->Progress.update(Connection, Now);
  this->QueuedBytes += Connection.heldBytes();
  this->Closing.emplace(Id, std::move(Added));
}

void ClosingConnections::poll() {
  const TimePoint Now = Task::now();
  std::erase_if(this->Closing, [&](const auto &Polled) {
    return !this->pollEntry(*Polled.second, Now);
  });
  this->countQueuedBytes();
  if (!this->Closing.empty())
    this->PollTimer.start(PollPeriod);
}

bool ClosingConnections::pollEntry(Entry &Polled, TimePoint Now) {
  SendProgress &Progress = Polled.Progress;
  if (Progress.mayBeIncomplete(*Polled.Connection))
    Progress.update(*Polled.Connection, Now);
  const Duration Waited = Progress.timeWithoutProgress(Now);
  if (Progress.undeliveredBytes() > 0) {
    if (Waited < this->Options.StallTimeout)
      return true;
    this->giveUp(Polled, StallLimit::Time, Now);
    return false;
  }
  if (Waited < this->Options.PeerCloseTimeout)
    return true;
  Polled.Connection->setResetOnDestruction(this->Options.ResetUnclosed);
  return false;
}

void ClosingConnections::giveUp(const Entry &Stalled, StallLimit Limit,
                                TimePoint Now) {
  if (!this->OnStalled)
    return;
  this->OnStalled({.Peer = Stalled.Connection->remote(),
                   .Limit = Limit,
                   .StalledFor = Stalled.Progress.timeWithoutProgress(Now),
                   .UndeliveredBytes = Stalled.Progress.undeliveredBytes()});
}

size_t ClosingConnections::undeliveredCount() const {
  return static_cast<size_t>(std::count_if(
      this->Closing.begin(), this->Closing.end(), [](const auto &Counted) {
        return Counted.second->Progress.undeliveredBytes() > 0;
      }));
}

void ClosingConnections::countQueuedBytes() {
  this->QueuedBytes = 0;
  for (const auto &[Id, Counted] : this->Closing)
    this->QueuedBytes += Counted->Connection->heldBytes();
}

ClosingConnections::Entries::const_iterator
ClosingConnections::findLongestStalled(TimePoint Now) const {
  auto Longest = this->Closing.end();
  for (auto Candidate = this->Closing.begin(); Candidate != this->Closing.end();
       ++Candidate) {
    if (Candidate->second->Connection->queuedBytes() == 0)
      continue;
    if (Longest == this->Closing.end() ||
        Candidate->second->Progress.timeWithoutProgress(Now) >
            Longest->second->Progress.timeWithoutProgress(Now))
      Longest = Candidate;
  }
  return Longest;
}

Duration ClosingConnections::longestStall(TimePoint Now) const {
  const auto Longest = this->findLongestStalled(Now);
  return Longest == this->Closing.end()
             ? Duration::zero()
             : Longest->second->Progress.timeWithoutProgress(Now);
}

void ClosingConnections::dropLongestStalled(TimePoint Now) {
  const auto Longest = this->findLongestStalled(Now);
  this->giveUp(*Longest->second, StallLimit::HeldBytes, Now);
  this->Closing.erase(Longest);
  this->countQueuedBytes();
}

} // namespace bluebellbarrow
