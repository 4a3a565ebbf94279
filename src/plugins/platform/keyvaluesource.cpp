#include "keyvaluesource.h"

#include <algorithm>

namespace bluebellbarrow {

namespace {

/** Time without a read after which everything is read anew. */
constexpr Duration LongestGap = milliseconds(2500);

} // namespace

KeyValueSource::KeyValueSource(const PlatformSourceOptions &Options,
                               std::unique_ptr<KeyValueStore> NewStore,
                               std::unique_ptr<StoreSchema> NewSchema)
    : Owner(Options.Owner), Store(std::move(NewStore)),
      Schema(std::move(NewSchema)), Mirror(*this->Schema, Options.Mesh) {}

KeyValueSource::~KeyValueSource() { *this->Alive = false; }

void KeyValueSource::read(const ReadPlatform &What, Done OnDone) {
  std::optional<Waiter> &Slot = this->Waiters[static_cast<size_t>(What.Kind)];
  if (Slot)
    this->Owner.post([Old = std::move(Slot->OnDone)] {
      Old({.End = ReadEnd::Failed, .Cause = "another read was started"});
    });
  Slot = Waiter{.What = What, .OnDone = std::move(OnDone)};
  this->Owner.post([this, Living = this->Alive] {
    if (*Living)
      this->pump();
  });
}

void KeyValueSource::readPart(const Digest &Hash, Done OnDone) {
  const PartText Text = this->Mirror.part(Hash);
  ReadResult Result{.End = ReadEnd::Missing};
  if (Text != nullptr)
    Result = {.End = ReadEnd::Value, .Text = *Text};
  this->Owner.post([OnDone = std::move(OnDone), Result = std::move(Result)] {
    OnDone(Result);
  });
}

bool KeyValueSource::changedSince(const ReadPlatform &What) const {
  const uint64_t Revision = What.Kind == ItemKind::Config
                                ? this->Mirror.configRevision()
                                : this->Mirror.listRevision();
  return this->Mirror.complete() && Revision > What.ChangedSince;
}

ReadResult KeyValueSource::valueOf(ItemKind Kind) const {
  if (Kind == ItemKind::Config)
    return {.End = ReadEnd::Value,
            .Revision = this->Mirror.configRevision(),
            .Text = this->Mirror.manifest()};
  return {.End = ReadEnd::Value,
          .Revision = this->Mirror.listRevision(),
          .Text = this->Mirror.vmList()};
}

void KeyValueSource::pump() {
  Duration Wait{};
  bool Needed = false;
  for (std::optional<Waiter> &Each : this->Waiters) {
    if (!Each)
      continue;
    if (this->changedSince(Each->What)) {
      const Waiter Ready = std::move(*Each);
      Each.reset();
      Ready.OnDone(this->valueOf(Ready.What.Kind));
      continue;
    }
    Needed = true;
    Wait = std::max(Wait, Each->What.Wait);
  }
  if (!Needed || this->InFlight)
    return;
  this->InFlight = true;
  this->callStore(Wait);
}

void KeyValueSource::callStore(Duration Wait) {
  // The changes since long ago may be many times what is there now.
  if (this->Mirror.complete() && Task::now() - this->LastAnswer > LongestGap)
    this->Mirror.beginPages();
  const auto OnAnswer = [this, Living = this->Alive](const StoreAnswer &Got) {
    if (*Living)
      this->onAnswer(Got);
  };
  if (this->Mirror.complete())
    this->Store->awaitChanges(this->Mirror.position(), Wait, OnAnswer);
  else
    this->Store->readItems(this->Mirror.pageKey(), OnAnswer);
}

void KeyValueSource::onAnswer(const StoreAnswer &Answer) {
  this->InFlight = false;
  if (Answer.End != StoreEnd::Failed)
    this->LastAnswer = Task::now();
  if (Answer.End == StoreEnd::HistoryGone) {
    this->Mirror.beginPages();
    this->pump();
    return;
  }
  if (Answer.End == StoreEnd::Good && this->Mirror.complete())
    this->Mirror.onChanges(Answer);
  else if (Answer.End == StoreEnd::Good)
    this->Mirror.onPage(Answer);
  else if (!this->Mirror.complete())
    this->Mirror.beginPages();
  if (Answer.End == StoreEnd::Good && !this->Mirror.complete()) {
    this->pump();
    return;
  }
  this->answerWaiters(Answer);
}

void KeyValueSource::answerWaiters(const StoreAnswer &Answer) {
  std::array<std::optional<Waiter>, ItemKindCount> Ended;
  Ended.swap(this->Waiters);
  for (const std::optional<Waiter> &Each : Ended) {
    if (!Each)
      continue;
    if (Answer.End != StoreEnd::Good)
      Each->OnDone({.End = ReadEnd::Failed, .Cause = Answer.Cause});
    else if (this->changedSince(Each->What))
      Each->OnDone(this->valueOf(Each->What.Kind));
    else
      Each->OnDone({.End = ReadEnd::Unchanged});
  }
}

} // namespace bluebellbarrow
