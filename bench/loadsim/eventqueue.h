#ifndef BLUEBELLBARROW_LOADSIM_EVENTQUEUE_H
#define BLUEBELLBARROW_LOADSIM_EVENTQUEUE_H

#include "kernel/clock.h"

#include <functional>
#include <queue>
#include <vector>

namespace bluebellbarrow {

/**
 * Events in virtual time; those of one moment happen in the order in which
 * they were added. Thread safety: none.
 */
class EventQueue {
public:
  TimePoint now() const { return this->Now; }

  /** Runs \a Work after \a Delay. */
  void after(Duration Delay, std::function<void()> Work) {
    this->at(this->Now + Delay, std::move(Work));
  }

  /** Runs \a Work at \a When, or at once when that is over. */
  void at(TimePoint When, std::function<void()> Work) {
    this->Events.push(
        {std::max(When, this->Now), ++this->LastNumber, std::move(Work)});
  }

  /** Lets time pass until \a End, or until nothing is left to do. */
  void runUntil(TimePoint End) {
    while (!this->Events.empty() && this->Events.top().When <= End) {
      this->Now = this->Events.top().When;
      const std::function<void()> Work = this->Events.top().Work;
      this->Events.pop();
      Work();
    }
  }

private:
  struct Event {
    TimePoint When;
    uint64_t Number = 0;
    std::function<void()> Work;

    bool operator>(const Event &Other) const {
      return std::tie(this->When, this->Number) >
             std::tie(Other.When, Other.Number);
    }
  };

  std::priority_queue<Event, std::vector<Event>, std::greater<>> Events;
  TimePoint Now{seconds(1000)};
  uint64_t LastNumber = 0;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_LOADSIM_EVENTQUEUE_H
