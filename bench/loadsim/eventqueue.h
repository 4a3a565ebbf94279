#ifndef BLUEBELLBARROW_LOADSIM_EVENTQUEUE_H
#define BLUEBELLBARROW_LOADSIM_EVENTQUEUE_H

#include "kernel/clock.h"

#include <functional>
#include <queue>
#include <vector>

namespace bluebellbarrow {

/**
 * Event queue in virtual time. Events that are due at the same time run in the
 * order in which they were scheduled. Thread safety: none.
 */
class EventQueue {
public:
  TimePoint now() const { return this->Now; }

  /** Runs \a Callback after \a Delay. */
  void scheduleAfter(Duration Delay, std::function<void()> Callback) {
    this->scheduleAt(this->Now + Delay, std::move(Callback));
  }

  /** Runs \a Callback at \a DueTime, or at once when that has passed. */
  void scheduleAt(TimePoint DueTime, std::function<void()> Callback) {
    this->Events.push({std::max(DueTime, this->Now), ++this->LastSequenceNumber,
                       std::move(Callback)});
  }

  /** Runs all events that are due until \a End. */
  void runUntil(TimePoint End) {
    while (!this->Events.empty() && this->Events.top().DueTime <= End) {
      this->Now = this->Events.top().DueTime;
      const std::function<void()> Callback = this->Events.top().Callback;
      this->Events.pop();
      Callback();
    }
  }

private:
  struct Event {
    TimePoint DueTime;
    uint64_t SequenceNumber = 0;
    std::function<void()> Callback;

    bool operator>(const Event &Other) const {
      return std::tie(this->DueTime, this->SequenceNumber) >
             std::tie(Other.DueTime, Other.SequenceNumber);
    }
  };

  std::priority_queue<Event, std::vector<Event>, std::greater<>> Events;
  TimePoint Now{seconds(1000)};
  uint64_t LastSequenceNumber = 0;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_LOADSIM_EVENTQUEUE_H
