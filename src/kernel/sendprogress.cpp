#include "sendprogress.h"

#include "tcpconnection.h"

#include <algorithm>

namespace bluebellbarrow {

namespace {

/** Returns all bytes that send() was given for \a Connection. */
uint64_t totalBytes(const TcpConnection &Connection) {
  return Connection.sentBytes() + Connection.queuedBytes();
}

} // namespace

void SendProgress::update(const TcpConnection &Connection, TimePoint Now) {
  const bool WasComplete = this->Undelivered == 0;
  const uint64_t Total = totalBytes(Connection);
  // The end of the stream counts as one more undelivered byte.
  this->Undelivered = Connection.undeliveredBytes();
  const uint64_t NewDelivered =
      Total - std::min<uint64_t>(Total, this->Undelivered);
  if (NewDelivered > this->Delivered || (WasComplete && this->Undelivered > 0))
    this->LastProgressAt = Now;
  this->Delivered = std::max(this->Delivered, NewDelivered);
}

bool SendProgress::mayBeIncomplete(const TcpConnection &Connection) const {
  return this->Undelivered > 0 || this->Delivered < totalBytes(Connection);
}

} // namespace bluebellbarrow
