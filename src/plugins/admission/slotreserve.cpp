#include "slotreserve.h"

#include <algorithm>
#include <cmath>

namespace bluebellbarrow {

namespace {

/** Part of the loss of less urgent requests that an urgent rank may have. */
constexpr double LossRatio = 0.15;

/** Loss above which less urgent requests are not held off any further. */
constexpr double MostLoss = 0.7;

/** Change of a reserve with each request, in slots. */
constexpr double Step = 0.02;

/** Largest part of the slots that is reserved. */
constexpr double MostShare = 1.0 / 3;

} // namespace

double SlotReserve::lostShare(double TurnedAway, double Asked) {
  return Asked > 0 ? TurnedAway / Asked : 0;
}

double SlotReserve::lostShareAfter(int64_t Priority, TimePoint Now) const {
  double TurnedAway = 0;
  double Asked = 0;
  for (auto Each = this->Ranks.upper_bound(Priority); Each != this->Ranks.end();
       ++Each) {
    TurnedAway += Each->second.TurnedAway.at(Now);
    Asked += Each->second.Asked.at(Now);
  }
  return lostShare(TurnedAway, Asked);
}

void SlotReserve::onAsked(int64_t Priority, size_t Slots, TimePoint Now) {
  Rank &Of = this->Ranks[Priority];
  Of.Reserved *= FadingSum::left(Now - Of.LastAsked);
  Of.LastAsked = Now;
  Of.Asked.add(1, Now);
  const double Lost = lostShare(Of.TurnedAway.at(Now), Of.Asked.at(Now));
  const double LostAfter = this->lostShareAfter(Priority, Now);
  const bool More = Lost > LossRatio * LostAfter && LostAfter < MostLoss;
  const double Most = static_cast<double>(Slots) * MostShare;
  Of.Reserved = std::clamp(Of.Reserved + (More ? Step : -Step), 0.0, Most);
}

void SlotReserve::onTurnedAway(int64_t Priority, TimePoint Now) {
  this->Ranks[Priority].TurnedAway.add(1, Now);
}

size_t SlotReserve::against(int64_t Priority, TimePoint Now) const {
  double Reserved = 0;
  for (const auto &[Each, Of] : this->Ranks)
    if (Each < Priority)
      Reserved =
          std::max(Reserved, Of.Reserved * FadingSum::left(Now - Of.LastAsked));
  return static_cast<size_t>(std::lround(Reserved));
}

} // namespace bluebellbarrow
