#ifndef BLUEBELLBARROW_TREE_POLICY_H
#define BLUEBELLBARROW_TREE_POLICY_H

#include "kernel/clock.h"
#include "kernel/schema.h"

#include <algorithm>
#include <compare>
#include <cstdint>
#include <span>
#include <string>
#include <variant>

namespace bluebellbarrow {

/**
 * How the calls of one route are handled; defaultPolicy() gives the schema's
 * defaults.
 */
struct Policy {
  /** Deadline of a call; a caller may set a shorter one. */
  Duration Deadline{};

  /** Latency after which a response is worth less; zero for the deadline. */
  Duration LatencyObjective{};

  Duration SlowStart{};
  Duration IdempotencyKeyRetention{};
  Duration ProbePeriod{};
  int64_t Retries = 0;

  /** Order among queued requests; 0 goes first. */
  int64_t Priority = 0;

  int64_t Slots = 0;
  int64_t MaxQueueLength = 0;
  int64_t MaxBodyBytes = 0;

  /** Retries allowed for each first attempt. */
  double RetryRatio = 0;

  /** Retries of the whole fleet beyond RetryRatio, in ten seconds. */
  double RetryBurst = 0;

  /** Share of a service's upstreams that may be ejected, from 0 to 1. */
  double MaxEjected = 0;
  bool Idempotent = false;
  std::string BalancerName;

  /** Health path of the target; empty for that of the node's settings. */
  std::string ProbePath;

  /** Connections that a target accepts from all callers together. */
  int64_t MaxConnections = 0;

  /** The capacity of a target, up to its slots, is found by measurement. */
  bool MeasuresCapacity = false;

  /** Requests per second that a cold target takes; 0 for no limit. */
  double ColdRate = 0;

  /** Factor on ColdRate up to which a cold target is given requests. */
  double ColdOvershoot = 0;

  /** Requests in one second beyond that which a cold target still survives. */
  double ColdSlack = 0;

  auto operator<=>(const Policy &) const = default; // NOLINT
};

/**
 * Returns the latency objective, or the deadline if that is shorter or no
 * objective is set.
 */
inline Duration effectiveLatencyObjective(const Policy &RoutePolicy) {
  return RoutePolicy.LatencyObjective > Duration::zero()
             ? std::min(RoutePolicy.LatencyObjective, RoutePolicy.Deadline)
             : RoutePolicy.Deadline;
}

/**
 * What a node accepts from callers; defaultCallerLimits() gives the schema's
 * defaults.
 */
struct CallerLimits {
  int64_t MaxHeaderBytes = 0;
  int64_t MaxBodyBytes = 0;

  /** Bytes of requests and waiting responses that a node buffers at once. */
  int64_t MaxBufferedBytes = 0;

  /** Requests of one connection that may be open at the same time. */
  int64_t MaxPipelinedRequests = 0;

  Duration HeaderTimeout{};
  Duration IdleTimeout{};

  /**
   * Time without an acknowledged byte after which a caller that has not
   * received its responses is given up.
   */
  Duration StallTimeout{};
};

/** How versions are disseminated in one failure domain. */
struct SpreadPolicy {
  Duration DigestPeriod{};

  /** Age of the last successful read at which another node reads. */
  Duration ReadTakeoverAge{};

  /** Additional age for each further position in the read order. */
  Duration ReadTakeoverStep{};

  Duration WatchTimeout{};

  /** Minimum time between reading a change and the next read. */
  Duration MinReadInterval{};

  /**
   * Time for which VMs are kept whose leases expired while the platform was
   * down.
   */
  Duration LeaseGracePeriod{};

  /**
   * Time for which evacuations and departures stay in effect that the platform
   * lacks after its store was restored from an older copy.
   */
  Duration RollbackGrace{};

  Duration AckTimeout{};
  int64_t DigestPeers = 0;
  int64_t FanOut = 0;
  int64_t ReaderCount = 0;

  int64_t MaxTransfers = 0;
  bool PushContent = false;
  std::string Strategy;
};

/** A key of the schema and the member of \a T that holds its value. */
template <typename T> struct FieldSpec {
  KeySpec Key;
  std::variant<Duration T::*, int64_t T::*, double T::*, bool T::*,
               std::string T::*>
      Member;
};

/** Returns the fields of a "policy" section. Thread safety: safe. */
std::span<const FieldSpec<Policy>> policyFields();

/** Returns the fields of a "spread" section. Thread safety: safe. */
std::span<const FieldSpec<SpreadPolicy>> spreadFields();

/** Returns the fields of a "limits" section. Thread safety: safe. */
std::span<const FieldSpec<CallerLimits>> limitFields();

/** Returns a policy with every default. Thread safety: safe. */
Policy defaultPolicy();

/** Returns limits with every default. Thread safety: safe. */
CallerLimits defaultCallerLimits();

/** Returns a spread policy with every default. Thread safety: safe. */
SpreadPolicy defaultSpreadPolicy();

/**
 * Sets the member of \a Output that belongs to \a Field: to \a Text if it is a
 * text, otherwise to \a NumericValue, given in the base unit of the type.
 */
template <typename T>
void setField(const FieldSpec<T> &Field, const std::string &Text,
              double NumericValue, T &Output) {
  struct Setter {
    const std::string &Text;
    double NumericValue;
    T &Output;

    void operator()(Duration T::*Member) const {
      this->Output.*Member =
          microseconds(static_cast<int64_t>(this->NumericValue));
    }

    void operator()(int64_t T::*Member) const {
      this->Output.*Member = static_cast<int64_t>(this->NumericValue);
    }

    void operator()(double T::*Member) const {
      this->Output.*Member = this->NumericValue;
    }

    void operator()(bool T::*Member) const {
      this->Output.*Member = this->NumericValue != 0;
    }

    void operator()(std::string T::*Member) const {
      this->Output.*Member = this->Text;
    }
  };

  std::visit(Setter{Text, NumericValue, Output}, Field.Member);
}

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_TREE_POLICY_H
