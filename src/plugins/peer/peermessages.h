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

/** Outcome of a request, as far as it is known. */
enum class Outcome : uint8_t {
  /** The target answered. */
  Answered = 0,

  /** The target did not run the request and will not. */
  NotRun = 1,

  /** The target may have run the request. */
  Unknown = 2,
};

/** State in which a cancellation found the request. */
enum class CancelState : uint8_t {
  /** The request has not run and will not. */
  NotRun = 0,

  Running = 1,
  Finished = 2,

  /** The process has restarted since the request was sent. */
  OtherIncarnation = 3,
};

/**
 * Number of priorities in a LoadReport. The last one also stands for all after
 * it.
 */
inline constexpr size_t ReportedPriorities = 3;

/** Load of a target, as measured by its node. */
struct LoadReport {
  uint16_t SlotsUsed = 0;
  uint16_t Slots = 0;
  uint16_t Queued = 0;

  /**
   * Expected wait, in microseconds, of a new request of priority 0, of 1,
   * and of 2 and all after it. Estimated for a late request, which queues
   * behind all of its priority; one that can still be answered before its soft
   * deadline queues ahead of the late ones.
   */
  std::array<uint32_t, ReportedPriorities> ExpectedWaitMicros{};

  /** Time in which the VM's link carries the long responses that it owes. */
  uint32_t LinkWaitMicros = 0;

  /** Bandwidth of the link for long responses; 0 for unknown. */
  uint32_t LinkBytesPerMilli = 0;

  MemberState State = MemberState::Starting;

  /** Target that the platform last listed on the VM; empty without one. */
  TargetInstanceId Target;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->SlotsUsed, this->Slots, this->Queued, this->LinkWaitMicros,
       this->LinkBytesPerMilli, this->State, this->Target);
    for (uint32_t &Wait : this->ExpectedWaitMicros)
      Ar(Wait);
  }
};

/** First message of either side of a stream. */
struct HelloMessage {
  MeshId Mesh;
  VmName Name;
  IncarnationId Incarnation;

  /** Load of the target; left empty by the side that opened the stream. */
  LoadReport Load;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Mesh, this->Name, this->Incarnation, this->Load);
  }
};

/** A request to the upstream's node. */
struct RequestMessage {
  RequestNumber Number;

  /** Incarnation that is to run the request; any other one refuses it. */
  IncarnationId ExpectedIncarnation;

  /** Target that the sender's VM list names; empty for any. */
  TargetInstanceId ExpectedTarget;

  /** Start of that target, in milliseconds of Unix time; 0 for unknown. */
  int64_t ExpectedTargetStartUnixMillis = 0;

  ServiceName Service;
  RouteName Route;

  /** Service of the VM on which the call was made. */
  ServiceName CallerService;

  /** Microseconds until the deadline. */
  uint64_t RemainingMicros = 0;

  /** Microseconds until the soft deadline. */
  uint64_t SoftDeadlineRemainingMicros = 0;

  /** Latency objective of the route, in microseconds. */
  uint64_t LatencyObjectiveMicros = 0;

  /** Priority among queued requests; 0 is first. */
  uint8_t Priority = 0;

  bool Idempotent = false;

  /** Number of calls that led to this one. */
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

/** The outcome of a request at the upstream's node. */
struct ReplyMessage {
  RequestNumber Number;
  Outcome Result = Outcome::Unknown;

  /** Why the request was not answered; empty when it was. */
  std::string Reason;

  /** Forbids the calling node to retry. */
  bool NoRetry = false;

  /** The request was sent to the target, whatever its outcome. */
  bool ReachedTarget = false;

  /** Microseconds after which a refused request may be retried. */
  uint32_t RetryAfterMicros = 0;

  /** Service time in microseconds. */
  uint32_t ServiceTimeMicros = 0;

  /** Mean service time of the route in microseconds; 0 for unknown. */
  uint32_t MeanServiceTimeMicros = 0;

  HttpResponse Response;
  LoadReport Load;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Number, this->Result, this->Reason, this->NoRetry,
       this->ReachedTarget, this->RetryAfterMicros, this->ServiceTimeMicros,
       this->MeanServiceTimeMicros, this->Response, this->Load);
  }
};

/** Cancels a request unless it has started. The reply contains its state. */
struct CancelMessage {
  RequestNumber Number;
  IncarnationId ExpectedIncarnation;

  /** Also cancels a running request at the target. */
  bool Stop = false;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Number, this->ExpectedIncarnation, this->Stop);
  }
};

/** Reply to a CancelMessage. */
struct CancelReplyMessage {
  RequestNumber Number;
  CancelState State = CancelState::OtherIncarnation;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Number, this->State);
  }
};

/** Checks whether a peer without progress still responds. */
struct PingMessage {
  template <typename Archive> void serialize(Archive &) {}
};

/** Reply to a ping. */
struct PongMessage {
  LoadReport Load;

  template <typename Archive> void serialize(Archive &Ar) { Ar(this->Load); }
};

/** Reports that the target takes unusually long for a request. */
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
