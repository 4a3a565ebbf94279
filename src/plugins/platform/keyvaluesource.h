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

  bool isExact() const override { return true; }

  void readPart(const Digest &Hash, Done OnDone) override;

private:
  /** A read that waits for the store. */
  struct Waiter {
    ReadPlatform What;
    Done OnDone;
  };

  void pump();
  void callStore(Duration Wait);
  void onAnswer(const StoreAnswer &Answer);
  bool changedSince(const ReadPlatform &What) const;
  ReadResult valueOf(ItemKind Kind) const;
  void answerWaiters(const StoreAnswer &Answer);

  Task &Owner;
  std::unique_ptr<KeyValueStore> Store;
  std::unique_ptr<StoreSchema> Schema;
  StoreMirror Mirror;
  std::array<std::optional<Waiter>, ItemKindCount> Waiters;
  bool InFlight = false;

  /** When the store answered last. */
  TimePoint LastAnswer;

  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_PLATFORM_KEYVALUESOURCE_H
