#ifndef BLUEBELLBARROW_PLATFORM_KEYVALUESOURCE_H
#define BLUEBELLBARROW_PLATFORM_KEYVALUESOURCE_H

#include "kernel/task.h"
#include "platformsource.h"
#include "storemirror.h"

#include <array>
#include <memory>
#include <optional>

namespace bluebellbarrow {

/**
 * Reads a platform that is a key-value store. Reads of the configuration and
 * of the VM list share one request to the store, which lists all items once
 * and then waits for changes.
 *
 * Thread safety: none; owned by one task.
 */
class KeyValueSource : public PlatformSource {
public:
  /** \pre the task of \a Options outlives the source. */
  KeyValueSource(const PlatformSourceOptions &Options,
                 std::unique_ptr<KeyValueStore> Store,
                 std::unique_ptr<StoreSchema> Schema);
  ~KeyValueSource() override;

  /** Makes a pending read of the same kind fail. */
  void read(const ReadPlatform &Request, Done OnDone) override;

  bool hasMonotonicReads() const override { return true; }

  void readBlob(const Digest &Hash, Done OnDone) override;

private:
  /** A read that waits for the store. */
  struct PendingRead {
    ReadPlatform Request;
    Done OnDone;
  };

  void processPendingReads();
  void requestFromStore(Duration LongPollTimeout);
  void onStoreResponse(const StoreResponse &Response);

  /** Returns true if the store was restored since the response before. */
  bool isOfOtherEra(const StoreResponse &Response) const;

  bool hasChangedSince(const ReadPlatform &Request) const;
  ReadResult currentResult(ResourceKind Kind) const;
  void completePendingReads(const StoreResponse &Response);

  Task &Owner;
  std::unique_ptr<KeyValueStore> Store;
  std::unique_ptr<StoreSchema> Schema;
  StoreMirror Mirror;
  std::array<std::optional<PendingRead>, ResourceKindCount> PendingReads;

  /** True while a request to the store is in flight. */
  bool InFlight = false;

  /** The store has responded, so the mirror has its era. */
  bool HasEra = false;

  /** Time of the last response of the store that was not a failure. */
  TimePoint LastResponseTime;

  /** False once the source is destroyed; checked by its callbacks. */
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_PLATFORM_KEYVALUESOURCE_H
