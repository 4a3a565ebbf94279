#include "capacitycontroller.h"

#include <algorithm>
#include <cmath>

namespace bluebellbarrow {

namespace {

/** Time after which an observation counts half, in a band that is in use. */
constexpr Duration HalfLife = seconds(3);

/** The same in a band that is not. */
constexpr Duration UnusedHalfLife = seconds(15);

/** Time without an observation from which a band is not in use. */
constexpr Duration UnusedAfter = seconds(1);

/** Observations in a band from which it is compared with another one. */
constexpr double MinObservations = 12;

/** Longest time in which the band below is observed, and until the next one. */
constexpr Duration MaxDipTime = seconds(2);
constexpr Duration DipInterval = seconds(5);

/** Observations in the band below that end that time. */
constexpr double DipObservations = 2 * MinObservations;

/** Time between two changes of the limit. */
constexpr Duration DecisionInterval = milliseconds(250);

/** Factor on the limit when the target completes less in its highest band. */
constexpr double Decrease = 0.9;

/** Share of the slots that is added otherwise. */
constexpr double IncreaseShare = 0.006;

/** Smallest limit, as a share of the slots. */
constexpr double MinShare = 0.25;

/** Standard errors by which a difference must exceed chance. */
constexpr double Confidence = 1.5;

constexpr double MinRelativeTime = 0.01;

} // namespace

CapacityController::CapacityController(size_t Slots, TimePoint Now)
    : Slots(Slots), Limit(static_cast<double>(Slots)), DecidedAt(Now),
      DipUntil(Now), NextDip(Now) {}

void CapacityController::setSlots(size_t New) {
  if (New == this->Slots)
    return;
  this->Slots = New;
  this->reset();
}

void CapacityController::reset() {
  this->Limit = static_cast<double>(this->Slots);
  this->Bands.fill(Band());
}

size_t CapacityController::bandOf(double Concurrency) const {
  const double Share = Concurrency / static_cast<double>(this->Slots);
  const double Band = std::ceil(Share * static_cast<double>(BandCount)) - 1;
  return static_cast<size_t>(
      std::clamp(Band, 0.0, static_cast<double>(BandCount - 1)));
}

void CapacityController::fade(Band &Faded, TimePoint Now) {
  const Duration Used =
      Now - Faded.ObservedAt > UnusedAfter ? UnusedHalfLife : HalfLife;
  const std::chrono::duration<double> Age = Now - Faded.FadedAt;
  const double Factor = std::exp2(-Age / std::chrono::duration<double>(Used));
  Faded.FadedAt = Now;
  Faded.Weight *= Factor;
  Faded.Sum *= Factor;
  Faded.SumOfSquares *= Factor;
  Faded.SumOfConcurrency *= Factor;
}

void CapacityController::onFinished(double Concurrency, double RelativeTime,
                                    TimePoint Now) {
  Band &Observed = this->Bands.at(this->bandOf(Concurrency));
  fade(Observed, Now);
  const double Logarithm = std::log(std::max(RelativeTime, MinRelativeTime));
  Observed.Weight += 1;
  Observed.Sum += Logarithm;
  Observed.SumOfSquares += Logarithm * Logarithm;
  Observed.SumOfConcurrency += Concurrency;
  Observed.ObservedAt = Now;
}

void CapacityController::updateDip(size_t Highest, TimePoint Now) {
  if (Now < this->DipUntil) {
    if (this->Bands.at(this->bandOf(this->DipLimit)).Weight >= DipObservations)
      this->DipUntil = Now;
    return;
  }
  const size_t Lower = Highest / 2;
  if (Lower == Highest || Now < this->NextDip ||
      this->Bands.at(Highest).Weight < MinObservations ||
      this->Bands.at(Lower).Weight >= MinObservations)
    return;
  this->DipUntil = Now + MaxDipTime;
  this->NextDip = Now + DipInterval;
  this->DipLimit = static_cast<double>(this->Slots) *
                   static_cast<double>(Lower + 1) /
                   static_cast<double>(BandCount);
}

bool CapacityController::isWorse(const Band &Upper, const Band &Lower) {
  if (Upper.Weight < MinObservations || Lower.Weight < MinObservations)
    return false;
  const auto Variance = [](const Band &Of) {
    const double Mean = Of.Sum / Of.Weight;
    return std::max(0.0, Of.SumOfSquares / Of.Weight - Mean * Mean) / Of.Weight;
  };
  // Little's law: what completes in a second is concurrency by service time.
  const double MoreRuns = std::log(Upper.SumOfConcurrency / Upper.Weight) -
                          std::log(Lower.SumOfConcurrency / Lower.Weight);
  const double TakesLonger =
      Upper.Sum / Upper.Weight - Lower.Sum / Lower.Weight;
  const double Error = std::sqrt(Variance(Upper) + Variance(Lower));
  return TakesLonger - MoreRuns > Confidence * Error;
}

bool CapacityController::isWorseThanLower(size_t Index, TimePoint Now) const {
  // What was slow some time ago may have recovered.
  if (Now - this->Bands.at(Index).ObservedAt > UnusedAfter)
    return false;
  return std::any_of(this->Bands.begin(),
                     this->Bands.begin() + static_cast<ptrdiff_t>(Index),
                     [this, Index](const Band &Lower) {
                       return isWorse(this->Bands.at(Index), Lower);
                     });
}

size_t CapacityController::limit(TimePoint Now) {
  const auto Most = static_cast<double>(this->Slots);
  if (Now - this->DecidedAt >= DecisionInterval) {
    this->DecidedAt = Now;
    for (Band &Known : this->Bands)
      fade(Known, Now);
    const size_t Highest = this->bandOf(this->Limit);
    const bool Falls = this->isWorseThanLower(Highest, Now);
    this->Limit = Falls ? std::max(this->Limit * Decrease, Most * MinShare)
                        : std::min(this->Limit + Most * IncreaseShare, Most);
    this->updateDip(Highest, Now);
  }
  const double Current = Now < this->DipUntil
                             ? std::min(this->DipLimit, this->Limit)
                             : this->Limit;
  return std::max<size_t>(1, static_cast<size_t>(std::lround(Current)));
}

} // namespace bluebellbarrow
