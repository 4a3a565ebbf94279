#include "simtarget.h"

#include <algorithm>
#include <cmath>

namespace bluebellbarrow {

SimTarget::SimTarget(EventQueue &Events, const ServiceModel &Model,
                     double Speed, uint64_t Seed,
                     NestedCallFunction MakeNestedCall)
    : Events(Events), Model(Model), Speed(Speed), Random(Seed),
      MakeNestedCall(std::move(MakeNestedCall)) {}

Duration SimTarget::drawServiceTime(const KindModel &Kind) {
  const double Variance =
      std::log1p(Kind.RelativeDeviation * Kind.RelativeDeviation);
  std::lognormal_distribution<double> RelativeTime(-Variance / 2,
                                                   std::sqrt(Variance));
  std::uniform_real_distribution<double> Tail(0, 1);
  double Factor = RelativeTime(this->Random) / this->Speed * this->Slowdown;
  if (Tail(this->Random) < Kind.TailShare)
    Factor *= Kind.TailFactor;
  if (this->Events.now() < this->ColdUntil)
    Factor *= this->Model.ColdFactor;
  const double BusyShare = static_cast<double>(this->BusySlots) /
                           static_cast<double>(this->Model.Slots);
  Factor *= 1 + this->Model.FullFactor * std::min(BusyShare, 1.0);
  return std::chrono::duration_cast<Duration>(Kind.ServiceTime * Factor);
}

SimTarget::RunId SimTarget::run(const KindModel &Kind,
                                const KindModel *CalledKind, TimePoint Deadline,
                                std::function<void(bool)> OnFinished) {
  const RunId Id = ++this->LastRunId;
  this->Runs[Id] = {.Kind = &Kind,
                    .CalledKind = CalledKind,
                    .Deadline = Deadline,
                    .OnFinished = std::move(OnFinished)};
  this->Events.scheduleAt(Deadline, [this, Id] { this->finish(Id, false); });
  if (this->BusySlots < this->Model.Slots)
    this->start(Id);
  else
    this->Queue.push_back(Id);
  return Id;
}

void SimTarget::start(RunId Id) {
  Run &Current = this->Runs.at(Id);
  Current.Started = true;
  this->BusySlots += 1;
  std::uniform_real_distribution<double> Draw(0, 1);
  if (Draw(this->Random) < this->ErrorRate) {
    this->Events.scheduleAfter(milliseconds(1),
                               [this, Id] { this->finish(Id, false); });
    return;
  }
  Current.OpenParts = 1;
  this->Events.scheduleAfter(this->drawServiceTime(*Current.Kind),
                             [this, Id] { this->finishPart(Id, true); });
  const KindModel &Kind = *Current.Kind;
  if (Current.CalledKind == nullptr || Draw(this->Random) >= Kind.CallShare)
    return;
  Current.OpenParts += Kind.CallCount;
  for (int Count = 0; Count < Kind.CallCount; ++Count)
    this->MakeNestedCall(
        *Current.CalledKind, Current.Deadline,
        [this, Id](bool Succeeded) { this->finishPart(Id, Succeeded); });
}

void SimTarget::finishPart(RunId Id, bool Succeeded) {
  const auto Found = this->Runs.find(Id);
  if (Found == this->Runs.end())
    return;
  Run &Current = Found->second;
  Current.OpenParts -= 1;
  if (!Succeeded || Current.OpenParts == 0)
    this->finish(Id, Succeeded);
}

void SimTarget::finish(RunId Id, bool Succeeded) {
  const auto Found = this->Runs.find(Id);
  if (Found == this->Runs.end())
    return;
  const std::function<void(bool)> OnFinished =
      std::move(Found->second.OnFinished);
  this->cancel(Id);
  OnFinished(Succeeded);
}

void SimTarget::cancel(RunId Id) {
  const auto Found = this->Runs.find(Id);
  if (Found == this->Runs.end())
    return;
  const bool Started = Found->second.Started;
  this->Runs.erase(Found);
  if (!Started) {
    std::erase(this->Queue, Id);
    return;
  }
  this->BusySlots -= 1;
  this->startNextQueued();
}

void SimTarget::startNextQueued() {
  if (this->Queue.empty() || this->BusySlots >= this->Model.Slots)
    return;
  const RunId Next = this->Queue.front();
  this->Queue.pop_front();
  this->start(Next);
}

void SimTarget::restart() {
  this->Runs.clear();
  this->Queue.clear();
  this->BusySlots = 0;
  this->ColdUntil = this->Events.now() + this->Model.ColdTime;
}

} // namespace bluebellbarrow
