#include "simtarget.h"

#include <algorithm>
#include <cmath>

namespace bluebellbarrow {

SimTarget::SimTarget(EventQueue &Events, const ServiceModel &Model,
                     double Speed, uint64_t Seed, NestedCall Call)
    : Events(Events), Model(Model), Speed(Speed), Random(Seed),
      Call(std::move(Call)) {}

Duration SimTarget::drawWork(const KindModel &Kind) {
  const double Variance = std::log1p(Kind.Spread * Kind.Spread);
  std::lognormal_distribution<double> Draw(-Variance / 2, std::sqrt(Variance));
  std::uniform_real_distribution<double> Tail(0, 1);
  double Factor = Draw(this->Random) / this->Speed * this->Slow;
  if (Tail(this->Random) < Kind.TailShare)
    Factor *= Kind.TailFactor;
  if (this->Events.now() < this->ColdUntil)
    Factor *= this->Model.ColdFactor;
  const double Full =
      static_cast<double>(this->Busy) / static_cast<double>(this->Model.Slots);
  Factor *= 1 + this->Model.FullFactor * std::min(Full, 1.0);
  return std::chrono::duration_cast<Duration>(Kind.Work * Factor);
}

SimTarget::RunId SimTarget::run(const KindModel &Kind, const KindModel *Calls,
                                TimePoint Deadline,
                                std::function<void(bool)> OnEnd) {
  const RunId Id = ++this->LastRun;
  this->Runs[Id] = {.Kind = &Kind,
                    .Calls = Calls,
                    .Deadline = Deadline,
                    .OnEnd = std::move(OnEnd)};
  this->Events.at(Deadline, [this, Id] { this->end(Id, false); });
  if (this->Busy < this->Model.Slots)
    this->start(Id);
  else
    this->Waiting.push_back(Id);
  return Id;
}

void SimTarget::start(RunId Id) {
  Run &Started = this->Runs.at(Id);
  Started.Started = true;
  this->Busy += 1;
  std::uniform_real_distribution<double> Draw(0, 1);
  if (Draw(this->Random) < this->Failing) {
    this->Events.after(milliseconds(1), [this, Id] { this->end(Id, false); });
    return;
  }
  Started.Open = 1;
  this->Events.after(this->drawWork(*Started.Kind),
                     [this, Id] { this->endPart(Id, true); });
  const KindModel &Kind = *Started.Kind;
  if (Started.Calls == nullptr || Draw(this->Random) >= Kind.CallShare)
    return;
  Started.Open += Kind.CallCount;
  for (int Count = 0; Count < Kind.CallCount; ++Count)
    this->Call(*Started.Calls, Started.Deadline,
               [this, Id](bool Good) { this->endPart(Id, Good); });
}

void SimTarget::endPart(RunId Id, bool Good) {
  const auto Found = this->Runs.find(Id);
  if (Found == this->Runs.end())
    return;
  Run &Of = Found->second;
  Of.Open -= 1;
  if (!Good || Of.Open == 0)
    this->end(Id, Good);
}

void SimTarget::end(RunId Id, bool Good) {
  const auto Found = this->Runs.find(Id);
  if (Found == this->Runs.end())
    return;
  const std::function<void(bool)> OnEnd = std::move(Found->second.OnEnd);
  this->cancel(Id);
  OnEnd(Good);
}

void SimTarget::cancel(RunId Id) {
  const auto Found = this->Runs.find(Id);
  if (Found == this->Runs.end())
    return;
  const bool Started = Found->second.Started;
  this->Runs.erase(Found);
  if (!Started) {
    std::erase(this->Waiting, Id);
    return;
  }
  this->Busy -= 1;
  this->startWaiting();
}

void SimTarget::startWaiting() {
  if (this->Waiting.empty() || this->Busy >= this->Model.Slots)
    return;
  const RunId Next = this->Waiting.front();
  this->Waiting.pop_front();
  this->start(Next);
}

void SimTarget::restart() {
  this->Runs.clear();
  this->Waiting.clear();
  this->Busy = 0;
  this->ColdUntil = this->Events.now() + this->Model.Cold;
}

} // namespace bluebellbarrow
