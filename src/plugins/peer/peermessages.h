#ifndef BLUEBELLBARROW_PEER_PEERMESSAGES_H
#define BLUEBELLBARROW_PEER_PEERMESSAGES_H

#include "kernel/httpmessage.h"
#include "kernel/ids.h"
#include "plugins/membership/memberannouncement.h"

#include <array>
#include <compare>
#include <cstdint>
#include <string>

namespace bluebellbarrow {

/** What became of a request, as far as it is known. */
enum class Outcome : uint8_t {
  /** The target answered. */
  Answered = 0,

  /** The target did not run the request and will not. */
  NotRun = 1,

  /** The target may have run the request. */
  Unknown = 2,
};

/** What a cancellation found. */
enum class CancelState : uint8_t {
  /** The request has not run and will not. */
  NotRun = 0,

  Running = 1,
  Finished = 2,

  /** The process has restarted since and knows nothing of the request. */
  OtherIncarnation = 3,
};

/** Ranks for which waits are reported; the last one stands for all later. */
inline constexpr size_t ReportedPriorities = 3;

/** Load of a target, as its node counts it. */
struct LoadReport {
  uint16_t SlotsUsed = 0;
  uint16_t Slots = 0;
  uint16_t Queued = 0;

  /**
   * Microseconds that a request would wait which can be answered in its aim:
   * of rank 0, of rank 1, and of any later rank.
   */
  std::array<uint32_t, ReportedPriorities> WaitMicros{};

  MemberState State = MemberState::Starting;

  /** The target that runs there; empty where the platform does not say. */
  TargetInstanceId Target;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->SlotsUsed, this->Slots, this->Queued, this->State, this->Target);
    for (uint32_t &Wait : this->WaitMicros)
      Ar(Wait);
  }
};

/** First message in both directions of a stream. */
struct HelloMessage {
  MeshId Mesh;
  VmName Name;
  IncarnationId Incarnation;
  LoadReport Load;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Mesh, this->Name, this->Incarnation, this->Load);
  }
};

/** A call on its way to the upstream's node. */
struct RequestMessage {
  RequestNumber Number;

  /** Life of the process that is meant to run the request. */
  IncarnationId ExpectedIncarnation;

  /** Target that the sender knows there; empty for any. */
  TargetInstanceId ExpectedTarget;

  /** When that target started, in milliseconds of Unix time; 0 for unknown. */
  int64_t ExpectedTargetStartUnixMillis = 0;

  ServiceName Service;
  RouteName Route;

  /** Service of the VM at which the call began. */
  ServiceName CallerService;

  /** Microseconds until the caller's deadline. */
  uint64_t RemainingMicros = 0;

  /** Microseconds in which an answer is of full use. */
  uint64_t SoftDeadlineRemainingMicros = 0;

  /** Microseconds within which answers of the route are of full use. */
  uint64_t LatencyObjectiveMicros = 0;

  /** Rank among requests that wait; 0 goes first. */
  uint8_t Priority = 0;

  bool Idempotent = false;

  /** Calls that led to this one. */
  uint8_t Depth = 0;

  HttpRequest Request;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Number, this->ExpectedIncarnation, this->ExpectedTarget,
       this->ExpectedTargetStartUnixMillis, this->Service, this->Route,
       this->CallerService, this->RemainingMicros,
       this->SoftDeadlineRemainingMicros, this->LatencyObjectiveMicros,
       this->Priority, this->Idempotent, this->Depth, this->Request);
  }
};

/** The end of a request at the upstream's node. */
struct ReplyMessage {
  RequestNumber Number;
  Outcome Result = Outcome::Unknown;

  /** Why the request has no answer; empty when it has one. */
  std::string Reason;

  /** Forbids a retry by the nodes above. */
  bool NoRetry = false;

  /** The request was handed to the target, whatever became of it. */
  bool ReachedTarget = false;

  /** Microseconds after which a refused request may find room. */
  uint32_t RetryAfterMicros = 0;

  /** Microseconds that the target took. */
  uint32_t ServiceTimeMicros = 0;

  /** Microseconds that it usually takes for the route; 0 for unknown. */
  uint32_t MeanServiceTimeMicros = 0;

  HttpResponse Response;
  LoadReport Load;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Number, this->Result, this->Reason, this->NoRetry,
       this->ReachedTarget, this->RetryAfterMicros, this->ServiceTimeMicros,
       this->MeanServiceTimeMicros, this->Response, this->Load);
  }
};

/** Asks the upstream's node not to run a request, or what became of it. */
struct CancelMessage {
  RequestNumber Number;
  IncarnationId ExpectedIncarnation;

  /** True when a running request shall be stopped. */
  bool Stop = false;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Number, this->ExpectedIncarnation, this->Stop);
  }
};

struct CancelReplyMessage {
  RequestNumber Number;
  CancelState State = CancelState::OtherIncarnation;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Number, this->State);
  }
};

/** Asks a silent peer to show that it lives. */
struct PingMessage {
  template <typename Archive> void serialize(Archive &) {}
};

/** Answers a ping. */
struct PongMessage {
  LoadReport Load;

  template <typename Archive> void serialize(Archive &Ar) { Ar(this->Load); }
};

/** Tells that the target takes unusually long for a request. */
struct OverdueMessage {
  RequestNumber Number;

  template <typename Archive> void serialize(Archive &Ar) { Ar(this->Number); }
};

/** Kinds of frames between nodes that carry calls. */
enum class PeerFrameKind : uint8_t {
  Hello = 1,
  Request = 2,
  Reply = 3,
  Cancel = 4,
  CancelReply = 5,
  Ping = 6,
  Pong = 7,
  Overdue = 8,
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_PEER_PEERMESSAGES_H
