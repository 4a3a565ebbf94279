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
  std::optional<PendingRead> &Slot =
      this->PendingReads[static_cast<size_t>(What.Kind)];
  if (Slot)
    this->Owner.post([Old = std::move(Slot->OnDone)] {
      Old({.Status = ReadStatus::Failed, .Cause = "another read was started"});
    });
  Slot = PendingRead{.Request = What, .OnDone = std::move(OnDone)};
  this->Owner.post([this, Living = this->Alive] {
    if (*Living)
      this->processPendingReads();
  });
}

void KeyValueSource::readBlob(const Digest &Hash, Done OnDone) {
  const PartText Text = this->Mirror.part(Hash);
  ReadResult Result{.Status = ReadStatus::NotFound};
  if (Text != nullptr)
    Result = {.Status = ReadStatus::Found, .Text = *Text};
  this->Owner.post([OnDone = std::move(OnDone), Result = std::move(Result)] {
    OnDone(Result);
  });
}

bool KeyValueSource::hasChangedSince(const ReadPlatform &What) const {
  const uint64_t Revision = What.Kind == ResourceKind::Config
                                ? this->Mirror.configRevision()
                                : this->Mirror.vmListRevision();
  return this->Mirror.isComplete() && Revision > What.ChangedSince;
}

ReadResult KeyValueSource::currentResult(ResourceKind Kind) const {
  if (Kind == ResourceKind::Config)
    return {.Status = ReadStatus::Found,
            .Revision = this->Mirror.configRevision(),
            .Text = this->Mirror.manifest()};
  return {.Status = ReadStatus::Found,
          .Revision = this->Mirror.vmListRevision(),
          .Text = this->Mirror.vmList()};
}

void KeyValueSource::processPendingReads() {
  Duration Wait{};
  bool Needed = false;
  for (std::optional<PendingRead> &Each : this->PendingReads) {
    if (!Each)
      continue;
    if (this->hasChangedSince(Each->Request)) {
      const PendingRead Ready = std::move(*Each);
      Each.reset();
      Ready.OnDone(this->currentResult(Ready.Request.Kind));
      continue;
    }
    Needed = true;
    Wait = std::max(Wait, Each->Request.LongPollTimeout);
  }
  if (!Needed || this->InFlight)
    return;
  this->InFlight = true;
  this->requestFromStore(Wait);
}

void KeyValueSource::requestFromStore(Duration Wait) {
  // The changes since long ago may be many times what is there now.
  if (this->Mirror.isComplete() &&
      Task::now() - this->LastResponse > LongestGap)
    this->Mirror.restartListing();
  const auto OnAnswer = [this, Living = this->Alive](const StoreResponse &Got) {
    if (*Living)
      this->onStoreResponse(Got);
  };
  if (this->Mirror.isComplete())
    this->Store->awaitChanges(this->Mirror.watchRevision(), Wait, OnAnswer);
  else
    this->Store->readItems(this->Mirror.pageCursor(), OnAnswer);
}

void KeyValueSource::onStoreResponse(const StoreResponse &Answer) {
  this->InFlight = false;
  if (Answer.Status != StoreStatus::Failed)
    this->LastResponse = Task::now();
  if (Answer.Status == StoreStatus::Compacted) {
    this->Mirror.restartListing();
    this->processPendingReads();
    return;
  }
  if (Answer.Status == StoreStatus::Ok && this->Mirror.isComplete())
    this->Mirror.applyChanges(Answer);
  else if (Answer.Status == StoreStatus::Ok)
    this->Mirror.applyPage(Answer);
  else if (!this->Mirror.isComplete())
    this->Mirror.restartListing();
  if (Answer.Status == StoreStatus::Ok && !this->Mirror.isComplete()) {
    this->processPendingReads();
    return;
  }
  this->completePendingReads(Answer);
}

void KeyValueSource::completePendingReads(const StoreResponse &Answer) {
  std::array<std::optional<PendingRead>, ResourceKindCount> Ended;
  Ended.swap(this->PendingReads);
  for (const std::optional<PendingRead> &Each : Ended) {
    if (!Each)
      continue;
    if (Answer.Status != StoreStatus::Ok)
      Each->OnDone({.Status = ReadStatus::Failed, .Cause = Answer.Cause});
    else if (this->hasChangedSince(Each->Request))
      Each->OnDone(this->currentResult(Each->Request.Kind));
    else
      Each->OnDone({.Status = ReadStatus::Unchanged});
  }
}

} // namespace bluebellbarrow
