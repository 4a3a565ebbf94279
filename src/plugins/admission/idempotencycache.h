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

/** Limits of a KeyMemory. */
struct IdempotencyCacheOptions {
  /** Time for which an end is remembered. */
  Duration Retention = std::chrono::minutes(10);

  size_t MaxKeys = 20000;

  /** Bytes of remembered answers. */
  size_t MaxBytes = size_t{8} * 1024 * 1024;
};

/** What to do with a request under an Idempotency-Key. */
enum class IdempotencyDecision {
  /** The first: run it. */
  Run,

  /** The first one still runs: its end will be this one's too. */
  Join,

  /** Answer with the end of the first. */
  Replay,

  /** The key was used for another request. */
  Mismatch,

  /** No room to remember it, so it must not run. */
  Full,
};

/**
 * Remembers requests under an Idempotency-Key at the key's owner, so that a
 * caller's repeat joins the first run instead of starting another.
 *
 * Thread safety: none; owned by one task.
 */
class IdempotencyCache {
public:
  explicit IdempotencyCache(IdempotencyCacheOptions Options)
      : Options(Options) {}

  void setOptions(const IdempotencyCacheOptions &New) { this->Options = New; }

  /** Returns the name of a request's entry. */
  static std::string entryName(const ServiceName &Service,
                               const RouteName &Route, const std::string &Key);

  /** Takes a request; \a Print tells two requests under one key apart. */
  IdempotencyDecision begin(const std::string &Name, uint64_t Print,
                            const RequestKey &Request, TimePoint Now);

  /** Returns the end to repeat. \pre begin() said Repeat. */
  const ReplyMessage &recordedReply(const std::string &Name) const;

  /**
   * The request that ran has ended. Returns the requests that joined. An end
   * of NotRun is forgotten, so that a repeat may run.
   */
  std::vector<RequestKey> finish(const std::string &Name,
                                 const ReplyMessage &End, TimePoint Now);

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
