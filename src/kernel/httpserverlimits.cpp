/**
 * \file
 * The part of HttpServer that bounds what clients hold: clients that do not
 * read their responses, buffered bytes, and connections.
 */

#include "clientconnection.h"
#include "httpserver.h"
#include "task.h"

#include <algorithm>
#include <optional>

namespace bluebellbarrow {

namespace {

/** Time since its last activity in which a client counts as active. */
constexpr Duration ActiveTime = seconds(1);

/** Longest StallTimeout while connections close after their responses. */
constexpr Duration MaxClosingStall = seconds(2);

/** Time without a request after which a connection makes room for another. */
constexpr Duration MinIdleToClose = milliseconds(500);

/** Time without progress from which a client may be given up for its bytes. */
constexpr Duration MinStallToGiveUp = seconds(1);

/** Unsent bytes of responses above which a connection starts no request. */
constexpr size_t MaxUnsentBytesPerClient = size_t{1024} * 1024;

/** Bytes that a client may have buffered even above MaxBufferedBytes. */
constexpr size_t MinBufferedBytesPerClient = size_t{64} * 1024;

} // namespace

bool HttpServer::closeIdleConnection(TimePoint Now) {
  ConnectionId Longest = 0;
  TimePoint IdleSince = Now - MinIdleToClose;
  for (const auto &[Id, Client] : this->Connections) {
    if (Client->isBusy() || Client->LastActivityTime > IdleSince)
      continue;
    IdleSince = Client->LastActivityTime;
    Longest = Id;
  }
  if (Longest == 0)
    return false;
  this->onClosed(Longest);
  return true;
}

bool HttpServer::isOverBufferLimit() const {
  if (this->Options.Budget != nullptr)
    return this->Options.Budget->isExceeded();
  return this->bufferedBytes() > this->Options.Limits.MaxBufferedBytes;
}

bool HttpServer::exceedsBufferLimit(const ClientConnection &Client) const {
  return Client.BufferedBytes > MinBufferedBytesPerClient &&
         this->isOverBufferLimit();
}

bool HttpServer::mustWaitForClient(const ClientConnection &Client) const {
  const size_t Unsent = Client.Connection->queuedBytes();
  return Unsent > MaxUnsentBytesPerClient ||
         (Unsent > 0 && this->exceedsBufferLimit(Client));
}

void HttpServer::checkSending(ConnectionId Id, TimePoint Now) {
  const auto Found = this->Connections.find(Id);
  if (Found == this->Connections.end())
    return;
  ClientConnection &Client = *Found->second;
  const bool MayBeBehind = Client.Connection->queuedBytes() > 0 ||
                           Now - Client.LastActivityTime > ActiveTime;
  if (!MayBeBehind || !Client.Progress.mayBeIncomplete(*Client.Connection))
    return;
  Client.Progress.update(*Client.Connection, Now);
  const Duration Waited = Client.Progress.timeWithoutProgress(Now);
  Client.LastActivityTime = std::max(Client.LastActivityTime, Now - Waited);
  if (Client.Progress.undeliveredBytes() > 0 &&
      Waited >= this->stallTimeout()) {
    this->giveUp(Id, StallLimit::Time, Now);
    return;
  }
  this->processReceived(Id);
}

std::vector<UnreadConnection>
HttpServer::unreadConnections(TimePoint Now) const {
  std::vector<UnreadConnection> Unread;
  for (const auto &[Id, Client] : this->Connections)
    if (Client->Connection->queuedBytes() > 0)
      Unread.push_back(
          {.Id = Id,
           .HeldBytes = Client->BufferedBytes,
           .StalledFor = Client->Progress.timeWithoutProgress(Now)});
  return Unread;
}

bool HttpServer::giveUpWorst(Duration MinStall, TimePoint Now) {
  if (this->Closing.longestStall(Now) >= MinStallToGiveUp) {
    this->Closing.dropLongestStalled(Now);
    return true;
  }
  const std::optional<ConnectionId> Worst =
      chooseConnectionToGiveUp(this->unreadConnections(Now), MinStall);
  if (!Worst)
    return false;
  this->giveUp(*Worst, StallLimit::HeldBytes, Now);
  return true;
}

void HttpServer::releaseBuffers(TimePoint Now) {
  const ByteBudget *Budget = this->Options.Budget;
  while (this->isOverBufferLimit() &&
         this->giveUpWorst(MinStallToGiveUp, Now)) {
  }
  while (Budget != nullptr && Budget->isFarExceeded() &&
         this->giveUpWorst(Duration::zero(), Now)) {
  }
}

bool HttpServer::makeRoom(size_t Bytes, size_t Expected) {
  const TimePoint Now = Task::now();
  const ByteBudget *Budget = this->Options.Budget;
  while (!Budget->fits(Bytes, Expected))
    if (!this->giveUpWorst(MinStallToGiveUp, Now))
      return false;
  return true;
}

Duration HttpServer::stallTimeout() const {
  const Duration Timeout = this->Options.Limits.StallTimeout;
  return this->CloseAfterResponse ? std::min(Timeout, MaxClosingStall)
                                  : Timeout;
}

void HttpServer::giveUp(ConnectionId Id, StallLimit Limit, TimePoint Now) {
  const ClientConnection &Client = *this->Connections.at(Id);
  if (this->Events.Stalled)
    this->Events.Stalled(
        {.Peer = Client.Connection->remote(),
         .Limit = Limit,
         .StalledFor = Client.Progress.timeWithoutProgress(Now),
         .UndeliveredBytes = Client.Progress.undeliveredBytes()});
  this->onClosed(Id);
}

} // namespace bluebellbarrow
