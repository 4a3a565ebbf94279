#include "keyvaluesource.h"

#include "kernel/log.h"

#include <algorithm>

namespace bluebellbarrow {

namespace {

/** Time without a response after which all items are listed again. */
constexpr Duration MaxResponseGap = milliseconds(2500);

} // namespace

KeyValueSource::KeyValueSource(const PlatformSourceOptions &Options,
                               std::unique_ptr<KeyValueStore> NewStore,
                               std::unique_ptr<StoreSchema> NewSchema)
    : Owner(Options.Owner), Store(std::move(NewStore)),
      Schema(std::move(NewSchema)), Mirror(*this->Schema, Options.Mesh) {}

KeyValueSource::~KeyValueSource() { *this->Alive = false; }

void KeyValueSource::read(const ReadPlatform &Request, Done OnDone) {
  std::optional<PendingRead> &Pending =
      this->PendingReads[static_cast<size_t>(Request.Kind)];
  if (Pending)
    this->Owner.post([Superseded = std::move(Pending->OnDone)] {
      Superseded(
          {.Status = ReadStatus::Failed, .Cause = "another read was started"});
    });
  Pending = PendingRead{.Request = Request, .OnDone = std::move(OnDone)};
  this->Owner.post([this, Alive = this->Alive] {
    if (*Alive)
      this->processPendingReads();
  });
}

void KeyValueSource::readBlob(const Digest &Hash, Done OnDone) {
  const PartText Part = this->Mirror.part(Hash);
  ReadResult Result{.Status = ReadStatus::NotFound};
  if (Part != nullptr)
    Result = {.Status = ReadStatus::Found, .Text = *Part};
  this->Owner.post([OnDone = std::move(OnDone), Result = std::move(Result)] {
    OnDone(Result);
  });
}

bool KeyValueSource::hasChangedSince(const ReadPlatform &Request) const {
  const uint64_t Position = Request.Kind == ResourceKind::Config
                                ? this->Mirror.configPosition()
                                : this->Mirror.listPosition();
  return this->Mirror.isComplete() && Position > Request.ChangedSince;
}

ReadResult KeyValueSource::currentResult(ResourceKind Kind) const {
  if (Kind == ResourceKind::Config)
    return {.Status = ReadStatus::Found,
            .Revision = this->Mirror.configPosition(),
            .Text = this->Mirror.manifest()};
  return {.Status = ReadStatus::Found,
          .Revision = this->Mirror.listPosition(),
          .Text = this->Mirror.vmList()};
}

void KeyValueSource::processPendingReads() {
  Duration LongPollTimeout{};
  bool HasPending = false;
  for (std::optional<PendingRead> &Pending : this->PendingReads) {
    if (!Pending)
      continue;
    if (this->hasChangedSince(Pending->Request)) {
      const PendingRead Completed = std::move(*Pending);
      Pending.reset();
      Completed.OnDone(this->currentResult(Completed.Request.Kind));
      continue;
    }
    HasPending = true;
    LongPollTimeout =
        std::max(LongPollTimeout, Pending->Request.LongPollTimeout);
  }
  if (!HasPending || this->InFlight)
    return;
  this->InFlight = true;
  this->requestFromStore(LongPollTimeout);
}

void KeyValueSource::requestFromStore(Duration LongPollTimeout) {
  // After a long gap, the changes may be many times larger than a listing.
  if (this->Mirror.isComplete() &&
      Task::now() - this->LastResponseTime > MaxResponseGap)
    this->Mirror.restartListing();
  const auto OnResponse = [this,
                           Alive = this->Alive](const StoreResponse &Response) {
    if (*Alive)
      this->onStoreResponse(Response);
  };
  if (this->Mirror.isComplete())
    this->Store->awaitChanges(this->Mirror.watchRevision(), LongPollTimeout,
                              OnResponse);
  else
    this->Store->readItems(this->Mirror.pageCursor(), OnResponse);
}

bool KeyValueSource::isOfOtherEra(const StoreResponse &Response) const {
  return Response.Status != StoreStatus::Failed &&
         Response.Era != this->Mirror.era();
}

void KeyValueSource::onStoreResponse(const StoreResponse &Response) {
  this->InFlight = false;
  if (Response.Status != StoreStatus::Failed)
    this->LastResponseTime = Task::now();
  if (!this->HasEra && Response.Status != StoreStatus::Failed) {
    this->HasEra = true;
    this->Mirror.startEra(Response.Era);
  }
  if (this->isOfOtherEra(Response)) {
    logEvent(LogLevel::Warning, "store was restored from an older copy",
             {{"era", Response.Era}, {"revision", Response.Revision}});
    this->Mirror.startEra(Response.Era);
    this->processPendingReads();
    return;
  }
  if (Response.Status == StoreStatus::Compacted) {
    this->Mirror.restartListing();
    this->processPendingReads();
    return;
  }
  if (Response.Status == StoreStatus::Ok && this->Mirror.isComplete())
    this->Mirror.applyChanges(Response);
  else if (Response.Status == StoreStatus::Ok)
    this->Mirror.applyPage(Response);
  else if (!this->Mirror.isComplete())
    this->Mirror.restartListing();
  if (Response.Status == StoreStatus::Ok && !this->Mirror.isComplete()) {
    this->processPendingReads();
    return;
  }
  this->completePendingReads(Response);
}

void KeyValueSource::completePendingReads(const StoreResponse &Response) {
  std::array<std::optional<PendingRead>, ResourceKindCount> Completed;
  Completed.swap(this->PendingReads);
  for (const std::optional<PendingRead> &Read : Completed) {
    if (!Read)
      continue;
    if (Response.Status != StoreStatus::Ok)
      Read->OnDone({.Status = ReadStatus::Failed, .Cause = Response.Cause});
    else if (this->hasChangedSince(Read->Request))
      Read->OnDone(this->currentResult(Read->Request.Kind));
    else
      Read->OnDone({.Status = ReadStatus::Unchanged});
  }
}

} // namespace bluebellbarrow
