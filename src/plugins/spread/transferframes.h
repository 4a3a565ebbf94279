#ifndef BLUEBELLBARROW_SPREAD_TRANSFERFRAMES_H
#define BLUEBELLBARROW_SPREAD_TRANSFERFRAMES_H

#include "kernel/framereader.h"
#include "spreadmessages.h"

#include <deque>

namespace bluebellbarrow {

/**
 * The frames of the last transfers. One version goes to many peers; it is
 * encoded and compressed once.
 *
 * Thread safety: none; owned by one task.
 */
class TransferFrames {
public:
  /** Returns the frame of \a Message, valid until the next call. */
  const Frame &frameOf(const TransferMessage &Message);

private:
  struct Entry {
    ItemKind Kind = ItemKind::Config;
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

#endif // BLUEBELLBARROW_SPREAD_TRANSFERFRAMES_H
