#include "transferframecache.h"

#include "controlcodec.h"

#include <algorithm>

namespace bluebellbarrow {

namespace {

/** A whole version and a change, pushed and pulled, of either kind. */
constexpr size_t MaxEntries = 6;

} // namespace

const Frame &TransferFrameCache::getFrame(const TransferMessage &Message) {
  const auto Known = std::find_if(this->Entries.begin(), this->Entries.end(),
                                  [&Message](const Entry &Each) {
                                    return Each.Kind == Message.Kind &&
                                           Each.Version == Message.Version &&
                                           Each.Base == Message.Base &&
                                           Each.Pushed == Message.Pushed &&
                                           Each.Tree == Message.Tree;
                                  });
  if (Known != this->Entries.end())
    return Known->Value;
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
