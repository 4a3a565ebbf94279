#ifndef BLUEBELLBARROW_KERNEL_FRAMEASSEMBLER_H
#define BLUEBELLBARROW_KERNEL_FRAMEASSEMBLER_H

#include "bytebudget.h"
#include "framereader.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

namespace bluebellbarrow {

/** Kind of a frame that carries a fragment of a long one. */
inline constexpr uint8_t FragmentKind = 255;

/** Start of a fragment; a piece of the long frame's body follows. */
struct FragmentHeader {
  /** Number of the long frame within its stream. */
  uint32_t Id = 0;

  /** Length of the body of the long frame. */
  uint32_t TotalBytes = 0;

  /** Kind of the long frame. */
  uint8_t Kind = 0;

  static constexpr size_t EncodedBytes = 9;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(this->Id, this->TotalBytes, this->Kind);
  }
};

/** Returns a fragment as a frame. Thread safety: safe. */
Frame makeFragment(const FragmentHeader &Header, std::string_view Piece);

/** What a fragment led to. */
struct AssembledFragment {
  /** The fragment is invalid; the stream is unusable. */
  bool IsMalformed = false;

  /** The long frame, once it is complete. */
  std::optional<Frame> Complete;

  /**
   * The first piece of a long frame that is dropped, for lack of room; set for
   * its first fragment.
   */
  std::optional<Frame> Dropped;
};

/**
 * Assembles the long frames of one stream from their fragments.
 *
 * Thread safety: none; owned by one task.
 */
class FrameAssembler {
public:
  /** \a MaxFrameBytes limits the body of a frame, and four bodies together. */
  explicit FrameAssembler(size_t MaxFrameBytes)
      : MaxFrameBytes(MaxFrameBytes) {}

  /**
   * Adds a fragment. A long frame that does not fit into \a Budget, which may
   * be null, is dropped.
   */
  AssembledFragment add(const Frame &Fragment, const ByteBudget *Budget);

  /** Returns the complete length of the frames that are assembled. */
  size_t heldBytes() const { return this->HeldBytes; }

private:
  /** A long frame of which a part was received. */
  struct PartialFrame {
    Frame Value;
    size_t TotalBytes = 0;
    size_t ReceivedBytes = 0;

    /** There is no room for it, so its bytes are not kept. */
    bool Dropped = false;
  };

  size_t MaxFrameBytes;
  std::map<uint32_t, PartialFrame> Partial;
  size_t HeldBytes = 0;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_FRAMEASSEMBLER_H
