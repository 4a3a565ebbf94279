#ifndef BLUEBELLBARROW_SPREAD_TRANSFERFRAMECACHE_H
#define BLUEBELLBARROW_SPREAD_TRANSFERFRAMECACHE_H

#include "controlmessages.h"
#include "kernel/framereader.h"

#include <deque>

namespace bluebellbarrow {

/**
 * The frames of the most recent transfers. A version that goes to many peers is
 * encoded and compressed once.
 *
 * Thread safety: none; owned by one task.
 */
class TransferFrameCache {
public:
  /** Returns the frame of \a Message, valid until the next call. */
  const Frame &getFrame(const TransferMessage &Message);

private:
  struct Entry {
    ResourceKind Kind = ResourceKind::Config;
    VersionId Version;
    VersionId Base;
    bool Pushed = false;
    PushTree Tree;
    Frame Value;
  };

  /** Newest first. */
  std::deque<Entry> Entries;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_SPREAD_TRANSFERFRAMECACHE_H
