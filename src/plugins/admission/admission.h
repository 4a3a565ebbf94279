#ifndef BLUEBELLBARROW_ADMISSION_ADMISSION_H
#define BLUEBELLBARROW_ADMISSION_ADMISSION_H

#include "plugins/peer/peermessages.h"
#include "seenrequests.h"

#include <deque>
#include <string>
#include <vector>

namespace bluebellbarrow {

/** Limits of the target beside this node. */
struct AdmissionLimits {
  /** Requests that run at once. */
  size_t Slots = 10;

  /** Requests that wait at most. */
  size_t Queue = 10;
};

/** What becomes of a request on arrival. */
enum class Admitted { Start, Queue, Refuse };

/** The answer to a request on arrival. */
struct AdmitResult {
  Admitted What = Admitted::Refuse;

  /** Why it is refused; it has not run and will not. */
  std::string Reason;

  /** The request is known and its first copy decides; no answer is due. */
  bool Duplicate = false;
};

/** A request that left the queue. */
struct Dequeued {
  RequestKey Key;

  /** True to run it, false when it was given up and has not run. */
  bool Start = false;

  std::string Reason;
};

/**
 * Lets requests to the target: so many at once, a short queue that knows the
 * deadlines, and nothing while the target drains. Remembers each request, so
 * that none starts twice and a cancelled one never starts.
 *
 * A decision object. Thread safety: none; owned by one task.
 */
class Admission {
public:
  explicit Admission(AdmissionLimits Limits);

  void setLimits(const AdmissionLimits &New) { this->Limits = New; }

  /** Takes nothing new, and starts nothing queued, while \a On. */
  void setDraining(bool On) { this->Draining = On; }

  /** Starts nothing before \a Until; requests queue meanwhile. */
  void holdUntil(TimePoint Until) { this->Hold = Until; }

  AdmitResult admit(const RequestKey &Key, TimePoint Deadline, TimePoint Now);

  /** A started request has ended. */
  void onFinished(const RequestKey &Key, TimePoint Now);

  /** A started request was never handed to the target. */
  void onNotRun(const RequestKey &Key, TimePoint Now);

  /** Returns the requests that start or are given up now. */
  std::vector<Dequeued> poll(TimePoint Now);

  /**
   * Cancels \a Key unless it has started; a request that was never seen will
   * be refused when it comes.
   */
  CancelState cancel(const RequestKey &Key, TimePoint Now);

  size_t running() const { return this->Running.size(); }

  size_t queued() const { return this->Waiting.size(); }

  const AdmissionLimits &limits() const { return this->Limits; }

private:
  struct Waiter {
    RequestKey Key;
    TimePoint Deadline;
  };

  struct Started {
    RequestKey Key;
    TimePoint Time;
  };

  void start(const RequestKey &Key, TimePoint Now);
  bool tooLate(TimePoint Deadline, size_t Ahead, TimePoint Now) const;
  bool maySlot(TimePoint Now) const;
  AdmitResult refuse(const RequestKey &Key, const std::string &Reason,
                     TimePoint Now);

  AdmissionLimits Limits;
  SeenRequests Seen;
  std::deque<Waiter> Waiting;
  std::vector<Started> Running;
  bool Draining = false;
  TimePoint Hold;

  /** Mean time that a request runs, in seconds. */
  double MeanRun = 0;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_ADMISSION_ADMISSION_H
