#ifndef BLUEBELLBARROW_ADMISSION_IDEMPOTENCYCACHE_H
#define BLUEBELLBARROW_ADMISSION_IDEMPOTENCYCACHE_H

#include "plugins/peer/peermessages.h"
#include "seenrequests.h"

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace bluebellbarrow {

/** Limits of an IdempotencyCache. */
struct IdempotencyCacheOptions {
  /** Time for which a reply is remembered. */
  Duration Retention = std::chrono::minutes(10);

  size_t MaxKeys = 20000;

  /** Bytes of remembered response bodies; no new key is accepted beyond. */
  size_t MaxBytes = size_t{8} * 1024 * 1024;
};

/** What is done with a request that has an Idempotency-Key. */
enum class IdempotencyDecision {
  /** The first request with this key: run it. */
  Run,

  /** The first request still runs: wait for its reply. */
  Join,

  /** Reply with the recorded reply of the first request. */
  Replay,

  /** The key was used for another request. */
  Mismatch,

  /** The cache is full, so the request must not run. */
  Full,
};

/**
 * Remembers requests by Idempotency-Key at the key's owner, so that a repeated
 * request joins the first one instead of running again.
 *
 * Thread safety: none; owned by one task.
 */
class IdempotencyCache {
public:
  explicit IdempotencyCache(IdempotencyCacheOptions Options)
      : Options(Options) {}

  void setOptions(const IdempotencyCacheOptions &New) { this->Options = New; }

  /** Returns the name of the entry of a request. */
  static std::string entryName(const ServiceName &Service,
                               const RouteName &Route, const std::string &Key);

  /**
   * Decides on a request. \a Fingerprint detects a key that is used for
   * different requests.
   */
  IdempotencyDecision begin(const std::string &Name, uint64_t Fingerprint,
                            const RequestKey &Request, TimePoint Now);

  /** Returns the recorded reply. \pre begin() returned Replay. */
  const ReplyMessage &recordedReply(const std::string &Name) const;

  /**
   * Records the reply of the request that ran and returns the requests that
   * joined it. An entry with Outcome::NotRun is removed, so that a repeat may
   * run.
   */
  std::vector<RequestKey> finish(const std::string &Name,
                                 const ReplyMessage &Reply, TimePoint Now);

  size_t size() const { return this->Entries.size(); }

private:
  struct Entry {
    uint64_t Fingerprint = 0;
    std::optional<ReplyMessage> Reply;
    std::vector<RequestKey> Joined;
  };

  struct Expiry {
    TimePoint Due;
    std::string Name;
  };

  void expire(TimePoint Now);

  IdempotencyCacheOptions Options;
  std::map<std::string, Entry> Entries;
  std::deque<Expiry> Expiries;
  size_t Bytes = 0;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_ADMISSION_IDEMPOTENCYCACHE_H
