#ifndef BLUEBELLBARROW_ADMISSION_SEENREQUESTS_H
#define BLUEBELLBARROW_ADMISSION_SEENREQUESTS_H

#include "kernel/clock.h"
#include "kernel/ids.h"

#include <compare>
#include <deque>
#include <map>
#include <optional>

namespace bluebellbarrow {

/** Identity of a request, assigned by its origin and kept by every relay. */
struct RequestKey {
  VmName Origin;
  IncarnationId OriginIncarnation;
  RequestNumber Number;

  auto operator<=>(const RequestKey &) const = default; // NOLINT
};

/** State of a request at the upstream's node. */
enum class RequestState { Queued, Running, Finished, NotRun };

/**
 * Remembers requests one by one. The numbers of several origins interleave and
 * arrive out of order, so a highest number seen would mistake new requests for
 * repeats.
 *
 * Thread safety: none; owned by one task.
 */
class SeenRequests {
public:
  /** \pre \a Retention is longer than any deadline. */
  explicit SeenRequests(Duration Retention) : Retention(Retention) {}

  /** Returns the state of \a Key, or no value if it has not been seen. */
  std::optional<RequestState> find(const RequestKey &Key) const;

  void set(const RequestKey &Key, RequestState State, TimePoint Now);

  /** Removes requests that ended longer ago than the retention period. */
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
