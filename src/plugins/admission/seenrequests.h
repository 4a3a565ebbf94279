#ifndef BLUEBELLBARROW_ADMISSION_SEENREQUESTS_H
#define BLUEBELLBARROW_ADMISSION_SEENREQUESTS_H

#include "kernel/clock.h"
#include "kernel/ids.h"

#include <compare>
#include <deque>
#include <map>
#include <optional>

namespace bluebellbarrow {

/** Identity of a request: given by its origin, kept by every relay. */
struct RequestKey {
  VmName Origin;
  IncarnationId OriginIncarnation;
  RequestNumber Number;

  auto operator<=>(const RequestKey &) const = default; // NOLINT
};

/** What an upstream's node remembers of a request. */
enum class RequestState { Queued, Running, Finished, NotRun };

/**
 * Remembers requests one by one. The numbers of many origins interleave and
 * cross, so a highest number would take new requests for old ones.
 *
 * Thread safety: none; owned by one task.
 */
class SeenRequests {
public:
  /** \a Memory must be longer than any deadline. */
  explicit SeenRequests(Duration Memory) : Retention(Memory) {}

  /** Returns what is known of \a Key, if anything. */
  std::optional<RequestState> find(const RequestKey &Key) const;

  /** Sets the state of \a Key. */
  void set(const RequestKey &Key, RequestState State, TimePoint Now);

  /** Forgets what is older than the memory and no longer under way. */
  void expire(TimePoint Now);

  size_t size() const { return this->States.size(); }

private:
  struct Expiry {
    TimePoint Due;
    RequestKey Key;
  };

  Duration Retention;
  std::map<RequestKey, RequestState> States;
  std::deque<Expiry> Expiries;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_ADMISSION_SEENREQUESTS_H
