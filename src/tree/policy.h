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

/** How the calls of one route are handled; defaults are those of the schema. */
struct Policy {
  /** Longest time that a caller is kept waiting. */
  Duration Deadline{};

  /** Time within which an answer is of full use; zero for the deadline. */
  Duration LatencyObjective{};

  Duration SlowStart{};
  Duration IdempotencyKeyRetention{};
  Duration ProbePeriod{};
  int64_t Retries = 0;

  /** Rank of a request among others that wait; 0 goes first. */
  int64_t Priority = 0;

  int64_t Slots = 0;
  int64_t MaxQueueLength = 0;
  int64_t MaxBodyBytes = 0;
  double RetryRatio = 0;

  /** Retries that the fleet may make in a short time beyond the share. */
  double RetryBurst = 0;

  double MaxEjected = 0;
  bool Idempotent = false;
  std::string BalancerName;

  /** Path to probe at the target; empty for that of the node's settings. */
  std::string ProbePath;

  /** Connections that a target accepts from all callers together. */
  int64_t MaxConnections = 0;

  auto operator<=>(const Policy &) const = default; // NOLINT
};

/** Returns the time within which an answer is of full use. */
inline Duration effectiveLatencyObjective(const Policy &RoutePolicy) {
  return RoutePolicy.LatencyObjective > Duration::zero()
             ? std::min(RoutePolicy.LatencyObjective, RoutePolicy.Deadline)
             : RoutePolicy.Deadline;
}

/** What a node accepts from callers; defaults are those of the schema. */
struct CallerLimits {
  int64_t MaxHeaderBytes = 0;
  int64_t MaxBodyBytes = 0;

  /** Bytes of requests that a node holds at once. */
  int64_t MaxBufferedBytes = 0;

  Duration HeaderTimeout{};
  Duration IdleTimeout{};
};

/** How configuration is spread in one failure domain. */
struct SpreadPolicy {
  Duration DigestPeriod{};
  Duration ReadTakeoverAge{};
  Duration ReadTakeoverStep{};
  Duration WatchTimeout{};

  /** Least time between a change that was read and the next read. */
  Duration MinReadInterval{};

  /** Time for which VMs are kept that lapsed while the platform was away. */
  Duration LeaseGracePeriod{};

  Duration AckTimeout{};
  int64_t DigestPeers = 0;
  int64_t FanOut = 0;
  int64_t ReaderCount = 0;

  int64_t MaxTransfers = 0;
  bool PushContent = false;
  std::string Strategy;
};

/** Binds a key of the schema to the member of \a T that holds its value. */
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

/** Stores a value in the base unit of its type into \a Target. */
template <typename T>
void setField(const FieldSpec<T> &Field, const std::string &Text, double Base,
              T &Target) {
  struct Store {
    const std::string &Text;
    double Base;
    T &Target;

    void operator()(Duration T::*Member) const {
      this->Target.*Member = microseconds(static_cast<int64_t>(this->Base));
    }

    void operator()(int64_t T::*Member) const {
      this->Target.*Member = static_cast<int64_t>(this->Base);
    }

    void operator()(double T::*Member) const {
      this->Target.*Member = this->Base;
    }

    void operator()(bool T::*Member) const {
      this->Target.*Member = this->Base != 0;
    }

    void operator()(std::string T::*Member) const {
      this->Target.*Member = this->Text;
    }
  };

  std::visit(Store{Text, Base, Target}, Field.Member);
}

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_TREE_POLICY_H
