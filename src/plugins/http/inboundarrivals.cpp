/**
 * \file
 * The part of InboundCalls that decides on requests as they arrive, before
 * admission control: idempotency keys, bytes that are held, and the link.
 */

#include "inboundcalls.h"
#include "kernel/hashing.h"
#include "plugins/admission/linkadmission.h"

namespace bluebellbarrow {

namespace {

/** Bodies up to this size are accepted regardless of the held bytes. */
constexpr size_t AlwaysAcceptedBytes = size_t{64} * 1024;

uint64_t fingerprint(const HttpRequest &Request) {
  return stableHash(Request.Method + "\n" + Request.RequestTarget + "\n" +
                    Request.Body);
}

} // namespace

bool InboundCalls::handleIdempotencyKey(const RequestKey &Key,
                                        const RequestMessage &Message,
                                        const InboundCallEvents &Events,
                                        std::string &EntryName) {
  const std::string &KeyHeader = this->Protocol.headerNames().IdempotencyKey;
  if (KeyHeader.empty())
    return false;
  const std::string_view IdempotencyKey =
      headerValue(Message.Request.Headers, KeyHeader);
  if (IdempotencyKey.empty() || Message.Idempotent)
    return false;
  EntryName = IdempotencyCache::entryName(Message.Service, Message.Route,
                                          std::string(IdempotencyKey));
  ReplyMessage Reply{.Number = Message.Number, .Load = this->load()};
  switch (this->IdempotencyKeys.begin(EntryName, fingerprint(Message.Request),
                                      Key, Task::now())) {
  case IdempotencyDecision::Run:
    return false;
  case IdempotencyDecision::Join:
    this->JoinedRequests.emplace(Key, Events);
    return true;
  case IdempotencyDecision::Replay:
    Reply = this->IdempotencyKeys.recordedReply(EntryName);
    Reply.Number = Message.Number;
    Reply.Load = this->load();
    break;
  case IdempotencyDecision::Mismatch:
    Reply.Result = Outcome::NotRun;
    Reply.Reason = "key was used for another request";
    Reply.NoRetry = true;
    break;
  case IdempotencyDecision::Full:
    Reply.Result = Outcome::NotRun;
    Reply.Reason = "too many keys to remember";
    Reply.NoRetry = true;
    break;
  }
  Events.Reply(Reply);
  return true;
}

const char *InboundCalls::rejectionReason(const RequestKey &Key,
                                          const RequestMessage &Message) const {
  if (this->CurrentSnapshot == nullptr || this->TargetClient == nullptr)
    return "not ready";
  if (Message.Service != this->Service)
    return "another service runs here";
  if (this->exceedsBudget(Key, Message))
    return "the node holds too many bytes";
  return nullptr;
}

bool InboundCalls::exceedsBudget(const RequestKey &Key,
                                 const RequestMessage &Message) const {
  if (Key.Origin == this->Self)
    return false;
  const size_t RequestBytes = Message.Request.Body.size();
  const auto ResponseBytes =
      static_cast<size_t>(this->Sizes.mean(Message.Route));
  const bool IsShort = RequestBytes <= AlwaysAcceptedBytes &&
                       ResponseBytes <= AlwaysAcceptedBytes;
  return !IsShort && !this->Budget.fits(RequestBytes + ResponseBytes,
                                        this->Link.reservedBytes());
}

void InboundCalls::reserveLink(Call &Arrived) {
  const double Bytes = this->Sizes.mean(Arrived.Message.Route);
  if (Bytes < MinLinkResponseBytes)
    return;
  Arrived.ReservedBytes = static_cast<size_t>(Bytes);
  this->Link.reserve(Arrived.ReservedBytes);
}

std::optional<Duration>
InboundCalls::linkRetryAfter(const RequestKey &Key, const Call &Arrived) const {
  const RequestMessage &Message = Arrived.Message;
  const double Bytes = this->Sizes.mean(Message.Route);
  if (Key.Origin == this->Self || Bytes < MinLinkResponseBytes)
    return std::nullopt;
  return bluebellbarrow::linkRetryAfter(
      {.ServiceTime = this->AdmissionControl.meanServiceTime(Message.Route)
                          .value_or(Duration::zero()),
       .Backlog = this->Link.timeToClear(),
       .Transfer = this->Link.timeToCarry(Bytes),
       .Left = {.ToSoftDeadline = microseconds(
                    static_cast<int64_t>(Message.SoftDeadlineRemainingMicros)),
                .ToDeadline = microseconds(
                    static_cast<int64_t>(Message.RemainingMicros))}});
}

} // namespace bluebellbarrow
