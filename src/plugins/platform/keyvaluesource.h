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
 * Reads a platform that is a store of keys and values. Both kinds of reads
 * share one call to the store: everything once, then the changes.
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

  void read(const ReadPlatform &What, Done OnDone) override;

  bool hasMonotonicReads() const override { return true; }

  void readBlob(const Digest &Hash, Done OnDone) override;

private:
  /** A read that waits for the store. */
  struct PendingRead {
    ReadPlatform Request;
    Done OnDone;
  };

  void processPendingReads();
  void requestFromStore(Duration Wait);
  void onStoreResponse(const StoreResponse &Answer);
  bool hasChangedSince(const ReadPlatform &What) const;
  ReadResult currentResult(ResourceKind Kind) const;
  void completePendingReads(const StoreResponse &Answer);

  Task &Owner;
  std::unique_ptr<KeyValueStore> Store;
  std::unique_ptr<StoreSchema> Schema;
  StoreMirror Mirror;
  std::array<std::optional<PendingRead>, ResourceKindCount> PendingReads;
  bool InFlight = false;

  /** When the store answered last. */
  TimePoint LastResponse;

  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_PLATFORM_KEYVALUESOURCE_H
