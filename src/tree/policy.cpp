#include "policy.h"

#include <array>

namespace bluebellbarrow {

namespace {

/** Units of the schema in its base units, microseconds and bytes. */
constexpr double Millisecond = 1e3;
constexpr double Second = 1e6;
constexpr double Minute = 60e6;
constexpr double Year = 365 * 24 * 60 * Minute;
constexpr double Megabyte = 1048576;

/** The largest priority that a message between nodes holds. */
constexpr double MaxPriority = 255;

/** Bound of counts that no resource of a node limits. */
constexpr double MaxCount = 1e9;

const std::array<FieldSpec<Policy>, 21> PolicyTable = {{
    {{"policy", "deadline", KeyType::Duration, 1, Year, "2 s",
      "longest time that a call may take; callers may set a shorter one"},
     &Policy::Deadline},
    {{"policy", "aim", KeyType::Duration, 0, Year, "0 s",
      "latency after which a response is worth less; 0 s for the deadline"},
     &Policy::LatencyObjective},
    {{"policy", "priority", KeyType::Integer, 0, MaxPriority, "1",
      "order among queued requests; 0 goes first"},
     &Policy::Priority},
    {{"policy", "slow-start", KeyType::Duration, 0, 10 * Minute, "10 s",
      "time in which a new target ramps up to its full share"},
     &Policy::SlowStart},
    {{"policy", "key-memory", KeyType::Duration, Second, 60 * Minute, "10 min",
      "time for which a reply is kept by its Idempotency-Key"},
     &Policy::IdempotencyKeyRetention},
    {{"policy", "probe-period", KeyType::Duration, 0, Minute, "500 ms",
      "time between two health probes of the target; 0 s for none"},
     &Policy::ProbePeriod},
    {{"policy", "retries", KeyType::Integer, 0, MaxCount, "2",
      "further attempts after the first"},
     &Policy::Retries},
    {{"policy", "slots", KeyType::Integer, 1, 1000, "10",
      "concurrent requests that the target accepts"},
     &Policy::Slots},
    {{"policy", "queue", KeyType::Integer, 0, 1000, "10",
      "maximum number of requests that wait for a slot"},
     &Policy::MaxQueueLength},
    {{"policy", "max-body", KeyType::Size, 0, 1024 * Megabyte, "1 MB",
      "maximum size of a request or response body"},
     &Policy::MaxBodyBytes},
    {{"policy", "retry-budget", KeyType::Number, 0, 1000, "0.1",
      "retries allowed for each first attempt"},
     &Policy::RetryRatio},
    {{"policy", "retry-burst", KeyType::Number, 0, MaxCount, "1000",
      "retries of the whole fleet beyond that share, in ten seconds"},
     &Policy::RetryBurst},
    {{"policy", "max-ejected", KeyType::Number, 0, 1, "0.5",
      "share of a service's upstreams that may be ejected for errors"},
     &Policy::MaxEjected},
    {{"policy", "idempotent", KeyType::Bool, 0, 1, "no",
      "whether a request may run more than once"},
     &Policy::Idempotent},
    {{"policy", "balance", KeyType::Text, 1, 32, "two-choices",
      "how an upstream is chosen"},
     &Policy::BalancerName},
    {{"policy", "probe-path", KeyType::Text, 0, MaxTextBytes, "",
      "health path of the target; empty for that of the node's settings"},
     &Policy::ProbePath},
    {{"policy", "max-connections", KeyType::Integer, 1, MaxCount, "1000",
      "connections that a target accepts from all callers together"},
     &Policy::MaxConnections},
    {{"policy", "measure-capacity", KeyType::Bool, 0, 1, "no",
      "whether a target gets fewer requests at once than its slots when it "
      "takes fewer well"},
     &Policy::MeasuresCapacity},
    {{"policy", "cold-rate", KeyType::Number, 0, MaxCount, "0",
      "requests per second that a cold target takes; 0 for no limit"},
     &Policy::ColdRate},
    {{"policy", "cold-overshoot", KeyType::Number, 1, 100, "1",
      "factor on cold-rate up to which a cold target is given requests"},
     &Policy::ColdOvershoot},
    {{"policy", "cold-slack", KeyType::Number, 0, MaxCount, "0",
      "requests in one second beyond that which a cold target survives"},
     &Policy::ColdSlack},
}};

const std::array<FieldSpec<CallerLimits>, 7> LimitTable = {{
    {{"limits", "max-header", KeyType::Size, 1, 16 * Megabyte, "16 KB",
      "maximum size of a request header"},
     &CallerLimits::MaxHeaderBytes},
    {{"limits", "max-body", KeyType::Size, 0, 1024 * Megabyte, "8 MB",
      "maximum size of a request body"},
     &CallerLimits::MaxBodyBytes},
    {{"limits", "max-held", KeyType::Size, 65536, 16384 * Megabyte, "32 MB",
      "bytes of requests and waiting responses that a node buffers at once"},
     &CallerLimits::MaxBufferedBytes},
    {{"limits", "max-pipelined", KeyType::Integer, 1, 1000, "16",
      "requests of one connection that may be open at the same time"},
     &CallerLimits::MaxPipelinedRequests},
    {{"limits", "header-time", KeyType::Duration, 1, Year, "10 s",
      "time in which the header of a request must arrive"},
     &CallerLimits::HeaderTimeout},
    {{"limits", "idle-time", KeyType::Duration, 1, Year, "75 s",
      "time without a byte after which a connection is closed"},
     &CallerLimits::IdleTimeout},
    {{"limits", "stall-time", KeyType::Duration, 100 * Millisecond, Year,
      "30 s",
      "time without an acknowledged byte after which a caller that has not "
      "received its responses is given up"},
     &CallerLimits::StallTimeout},
}};

const std::array<FieldSpec<SpreadPolicy>, 14> SpreadTable = {{
    {{"spread", "digest-period", KeyType::Duration, 50 * Millisecond, Minute,
      "500 ms", "time between two rounds of digests"},
     &SpreadPolicy::DigestPeriod},
    {{"spread", "read-base", KeyType::Duration, 100 * Millisecond, Minute,
      "1500 ms", "age of the last successful read at which another node reads"},
     &SpreadPolicy::ReadTakeoverAge},
    {{"spread", "read-step", KeyType::Duration, 10 * Millisecond, Minute,
      "300 ms", "additional age for each further position in the read order"},
     &SpreadPolicy::ReadTakeoverStep},
    {{"spread", "watch-wait", KeyType::Duration, 100 * Millisecond, 10 * Minute,
      "20 s", "maximum duration of a watch at the platform"},
     &SpreadPolicy::WatchTimeout},
    {{"spread", "read-interval", KeyType::Duration, 0, Minute, "50 ms",
      "minimum time between reading a change and the next read"},
     &SpreadPolicy::MinReadInterval},
    {{"spread", "lapse-grace", KeyType::Duration, 0, Minute, "0 s",
      "time for which VMs are kept whose leases expired while the platform was "
      "down"},
     &SpreadPolicy::LeaseGracePeriod},
    {{"spread", "rollback-grace", KeyType::Duration, 0, 10 * Minute, "10 s",
      "time for which evacuations and departures are kept that the platform "
      "lacks after its store was restored from an older copy"},
     &SpreadPolicy::RollbackGrace},
    {{"spread", "ack-limit", KeyType::Duration, 10 * Millisecond, Minute,
      "300 ms", "time without an ack after which a push counts as lost"},
     &SpreadPolicy::AckTimeout},
    {{"spread", "digest-peers", KeyType::Integer, 0, 16, "2",
      "peers that receive a digest in each round"},
     &SpreadPolicy::DigestPeers},
    {{"spread", "fan-out", KeyType::Integer, 1, 64, "4",
      "maximum number of nodes that a node pushes to"},
     &SpreadPolicy::FanOut},
    {{"spread", "readers", KeyType::Integer, 1, 16, "2",
      "nodes of the fleet that watch the platform"},
     &SpreadPolicy::ReaderCount},
    {{"spread", "max-transfers", KeyType::Integer, 1, 64, "4",
      "full transfers that a node serves at once"},
     &SpreadPolicy::MaxTransfers},
    {{"spread", "push-content", KeyType::Bool, 0, 1, "yes",
      "whether a push carries the change or only announces it"},
     &SpreadPolicy::PushContent},
    {{"spread", "strategy", KeyType::Text, 1, 32, "tree",
      "tree, gossip or direct"},
     &SpreadPolicy::Strategy},
}};

template <typename T, size_t Size>
T makeDefaults(const std::array<FieldSpec<T>, Size> &Table) {
  T Defaults;
  for (const FieldSpec<T> &Field : Table) {
    const Result<double> Parsed = parseValue(Field.Key, Field.Key.Default);
    setField(Field, Field.Key.Default, Parsed ? Parsed.value() : 0, Defaults);
  }
  return Defaults;
}

} // namespace

std::span<const FieldSpec<Policy>> policyFields() { return PolicyTable; }

std::span<const FieldSpec<SpreadPolicy>> spreadFields() { return SpreadTable; }

std::span<const FieldSpec<CallerLimits>> limitFields() { return LimitTable; }

Policy defaultPolicy() {
  static const Policy Default = makeDefaults(PolicyTable);
  return Default;
}

CallerLimits defaultCallerLimits() {
  static const CallerLimits Default = makeDefaults(LimitTable);
  return Default;
}

SpreadPolicy defaultSpreadPolicy() {
  static const SpreadPolicy Default = makeDefaults(SpreadTable);
  return Default;
}

} // namespace bluebellbarrow
