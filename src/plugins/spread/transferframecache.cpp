#include "transferframecache.h"

#include "controlcodec.h"

#include <algorithm>

namespace bluebellbarrow {

namespace {

/** Room for a full version and a delta, pushed and pulled, of either kind. */
constexpr size_t MaxEntries = 6;

} // namespace

const Frame &TransferFrameCache::getFrame(const TransferMessage &Message) {
  const auto Found = std::find_if(this->Entries.begin(), this->Entries.end(),
                                  [&Message](const Entry &Cached) {
                                    return Cached.Kind == Message.Kind &&
                                           Cached.Version == Message.Version &&
                                           Cached.Base == Message.Base &&
                                           Cached.Pushed == Message.Pushed &&
                                           Cached.Tree == Message.Tree;
                                  });
  if (Found != this->Entries.end())
    return Found->Value;
  this->Entries.push_front({.Kind = Message.Kind,
                            .Version = Message.Version,
                            .Base = Message.Base,
                            .Pushed = Message.Pushed,
                            .Tree = Message.Tree,
                            .Value = toFrame(Message)});
  if (this->Entries.size() > MaxEntries)
    this->Entries.pop_back();
  return this->Entries.front().Value;
}

} // namespace bluebellbarrow
