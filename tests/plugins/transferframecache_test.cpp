#include "plugins/spread/controlcodec.h"
#include "plugins/spread/transferframecache.h"

#include <criterion/criterion.h>

using namespace bluebellbarrow; // NOLINT: test

namespace {

TransferMessage transfer(uint64_t Number, bool Pushed) {
  return {.Kind = ResourceKind::Config,
          .Version = {.Number = VersionNumber(Number), .Hash = Digest()},
          .Pushed = Pushed,
          .Texts = {"text of version " + std::to_string(Number)}};
}

} // namespace

// More messages than the cache has entries, each requested several times: a
// frame must never be returned for another message.
Test(transferframes, each_message_gets_its_own_frame) {
  TransferFrameCache Frames;
  for (int Round = 0; Round < 3; ++Round)
    for (uint64_t Number = 1; Number < 10; ++Number)
      for (const bool Pushed : {false, true}) {
        const auto Message =
            fromFrame(Frames.getFrame(transfer(Number, Pushed)));
        cr_assert(Message.has_value());
        const auto &Decoded = std::get<TransferMessage>(*Message);
        cr_expect_eq(Decoded.Version.Number.value(), Number);
        cr_expect_eq(Decoded.Pushed, Pushed);
        cr_expect_eq(Decoded.Texts.front(),
                     "text of version " + std::to_string(Number));
      }
}
