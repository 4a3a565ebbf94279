#include "policy.h"

#include <array>

namespace bluebellbarrow {

namespace {

constexpr double Millisecond = 1e3;
constexpr double Second = 1e6;
constexpr double Minute = 60e6;
constexpr double Megabyte = 1048576;

const std::array<FieldSpec<Policy>, 17> PolicyTable = {{
    {{"policy", "deadline", KeyType::Span, Millisecond, 10 * Minute, "2 s",
      "time a call may take when the caller names none"},
     &Policy::Deadline},
    {{"policy", "aim", KeyType::Span, 0, 10 * Minute, "0 s",
      "time within which an answer is of full use; 0 s for the deadline"},
     &Policy::Aim},
    {{"policy", "priority", KeyType::Count, 0, 100, "1",
      "rank of a request among others that wait; 0 goes first"},
     &Policy::Priority},
    {{"policy", "slow-start", KeyType::Span, 0, 10 * Minute, "10 s",
      "time in which a new target comes up to its full share"},
     &Policy::SlowStart},
    {{"policy", "key-memory", KeyType::Span, Second, 60 * Minute, "10 min",
      "time for which a request under an Idempotency-Key is remembered"},
     &Policy::KeyMemory},
    {{"policy", "probe-period", KeyType::Span, 0, Minute, "500 ms",
      "time between two looks at the target's health; 0 s for none"},
     &Policy::ProbePeriod},
    {{"policy", "retries", KeyType::Count, 0, 100, "2",
      "further attempts after the first"},
     &Policy::Retries},
    {{"policy", "slots", KeyType::Count, 1, 1000, "10",
      "requests that the target takes at once"},
     &Policy::Slots},
    {{"policy", "queue", KeyType::Count, 0, 1000, "10",
      "requests that wait for a slot"},
     &Policy::Queue},
    {{"policy", "max-body", KeyType::Size, 0, 1024 * Megabyte, "1 MB",
      "largest body of a request or an answer"},
     &Policy::MaxBody},
    {{"policy", "retry-budget", KeyType::Ratio, 0, 1, "0.1",
      "retries allowed for each first attempt"},
     &Policy::RetryBudget},
    {{"policy", "retry-burst", KeyType::Ratio, 0, 1000000, "1000",
      "retries of the whole fleet beyond that share, in ten seconds"},
     &Policy::RetryBurst},
    {{"policy", "max-ejected", KeyType::Ratio, 0, 1, "0.5",
      "share of a service that may be left out for its errors"},
     &Policy::MaxEjected},
    {{"policy", "idempotent", KeyType::Flag, 0, 1, "no",
      "whether a request may run more than once"},
     &Policy::Idempotent},
    {{"policy", "balance", KeyType::Text, 1, 32, "two-choices",
      "how an upstream is chosen"},
     &Policy::Balance},
    {{"policy", "probe-path", KeyType::Text, 0, 150, "",
      "path to probe at the target; empty for that of the node's settings"},
     &Policy::ProbePath},
    {{"policy", "max-connections", KeyType::Count, 1, 100000, "1000",
      "connections that a target accepts from all callers together"},
     &Policy::MaxConnections},
}};

const std::array<FieldSpec<CallerLimits>, 5> LimitTable = {{
    {{"limits", "max-header", KeyType::Size, 256, Megabyte, "16 KB",
      "largest head of a request"},
     &CallerLimits::MaxHeader},
    {{"limits", "max-body", KeyType::Size, 0, 1024 * Megabyte, "8 MB",
      "largest body of a request"},
     &CallerLimits::MaxBody},
    {{"limits", "max-held", KeyType::Size, 65536, 16384 * Megabyte, "32 MB",
      "bytes of requests that a node holds at once"},
     &CallerLimits::MaxHeld},
    {{"limits", "header-time", KeyType::Span, 10 * Millisecond, Minute, "10 s",
      "time in which the head of a request must arrive"},
     &CallerLimits::HeaderTime},
    {{"limits", "idle-time", KeyType::Span, 100 * Millisecond, 60 * Minute,
      "75 s", "time without a byte after which a connection is closed"},
     &CallerLimits::IdleTime},
}};

const std::array<FieldSpec<SpreadPolicy>, 13> SpreadTable = {{
    {{"spread", "digest-period", KeyType::Span, 50 * Millisecond, Minute,
      "500 ms", "time between two rounds of digests"},
     &SpreadPolicy::DigestPeriod},
    {{"spread", "read-base", KeyType::Span, 100 * Millisecond, Minute,
      "1500 ms", "age of the last read at which another node reads"},
     &SpreadPolicy::ReadBase},
    {{"spread", "read-step", KeyType::Span, 10 * Millisecond, Minute, "300 ms",
      "time by which each further rank waits longer"},
     &SpreadPolicy::ReadStep},
    {{"spread", "watch-wait", KeyType::Span, 100 * Millisecond, 10 * Minute,
      "20 s", "time for which the platform may hold a watch"},
     &SpreadPolicy::WatchWait},
    {{"spread", "read-interval", KeyType::Span, 0, Minute, "50 ms",
      "least time between a change that was read and the next read"},
     &SpreadPolicy::ReadInterval},
    {{"spread", "lapse-grace", KeyType::Span, 0, Minute, "0 s",
      "time for which VMs are kept that lapsed while the platform was away"},
     &SpreadPolicy::LapseGrace},
    {{"spread", "ack-limit", KeyType::Span, 10 * Millisecond, Minute, "300 ms",
      "time after which a push counts as lost"},
     &SpreadPolicy::AckLimit},
    {{"spread", "digest-peers", KeyType::Count, 0, 16, "2",
      "nodes that get a digest in each round"},
     &SpreadPolicy::DigestPeers},
    {{"spread", "fan-out", KeyType::Count, 1, 64, "4",
      "nodes to which a node pushes"},
     &SpreadPolicy::FanOut},
    {{"spread", "readers", KeyType::Count, 1, 16, "2",
      "nodes of the fleet that watch the platform"},
     &SpreadPolicy::Readers},
    {{"spread", "max-transfers", KeyType::Count, 1, 64, "4",
      "whole transfers that a node serves at once"},
     &SpreadPolicy::MaxTransfers},
    {{"spread", "push-content", KeyType::Flag, 0, 1, "yes",
      "whether a push carries the change or only announces it"},
     &SpreadPolicy::PushContent},
    {{"spread", "strategy", KeyType::Text, 1, 32, "tree",
      "tree, gossip or direct"},
     &SpreadPolicy::Strategy},
}};

template <typename T, size_t Size>
T withDefaults(const std::array<FieldSpec<T>, Size> &Table) {
  T Value;
  for (const FieldSpec<T> &Field : Table) {
    const Result<double> Base = parseValue(Field.Key, Field.Key.Default);
    storeField(Field, Field.Key.Default, Base ? Base.value() : 0, Value);
  }
  return Value;
}

} // namespace

std::span<const FieldSpec<Policy>> policyFields() { return PolicyTable; }

std::span<const FieldSpec<SpreadPolicy>> spreadFields() { return SpreadTable; }

std::span<const FieldSpec<CallerLimits>> limitFields() { return LimitTable; }

Policy defaultPolicy() {
  static const Policy Default = withDefaults(PolicyTable);
  return Default;
}

CallerLimits defaultCallerLimits() {
  static const CallerLimits Default = withDefaults(LimitTable);
  return Default;
}

SpreadPolicy defaultSpreadPolicy() {
  static const SpreadPolicy Default = withDefaults(SpreadTable);
  return Default;
}

} // namespace bluebellbarrow
