#include "frameassembler.h"

#include "wirearchive.h"

namespace bluebellbarrow {

namespace {

/**
 * Long frames that are assembled at the same time, as a multiple of the longest
 * one, and by number.
 */
constexpr size_t MaxHeldFactor = 4;
constexpr size_t MaxPartialFrames = 4096;

/** Room for a header in front of the body, see ReplyCodec. */
constexpr size_t SpareBytes = 4096;

} // namespace

Frame makeFragment(const FragmentHeader &Header, std::string_view Piece) {
  Frame Fragment{.Kind = FragmentKind, .Body = encode(Header)};
  Fragment.Body.append(Piece);
  return Fragment;
}

AssembledFragment FrameAssembler::add(const Frame &Fragment,
                                      const ByteBudget *Budget) {
  constexpr size_t HeaderBytes = FragmentHeader::EncodedBytes;
  FragmentHeader Header;
  const bool IsValid = Fragment.Body.size() > HeaderBytes &&
                       decode(Fragment.Body.substr(0, HeaderBytes), Header) &&
                       Header.TotalBytes <= this->MaxFrameBytes &&
                       this->HeldBytes <= MaxHeldFactor * this->MaxFrameBytes &&
                       this->Partial.size() < MaxPartialFrames;
  if (!IsValid)
    return {.IsMalformed = true};
  AssembledFragment Result;
  const auto [Position, IsNew] = this->Partial.try_emplace(Header.Id);
  PartialFrame &Known = Position->second;
  if (IsNew) {
    Known.Value.Kind = Header.Kind;
    Known.TotalBytes = Header.TotalBytes;
    Known.Dropped = Budget != nullptr && !Budget->fits(Header.TotalBytes);
    if (Known.Dropped)
      Result.Dropped =
          Frame{.Kind = Header.Kind, .Body = Fragment.Body.substr(HeaderBytes)};
    else
      this->HeldBytes += Header.TotalBytes;
  }
  Known.ReceivedBytes += Fragment.Body.size() - HeaderBytes;
  if (Known.TotalBytes != Header.TotalBytes ||
      Known.ReceivedBytes > Known.TotalBytes)
    return {.IsMalformed = true};
  if (!Known.Dropped) {
    // Appending must not reallocate, which would hold the bytes twice.
    Known.Value.Body.reserve(Header.TotalBytes + SpareBytes);
    Known.Value.Body.append(Fragment.Body, HeaderBytes);
  }
  if (Known.ReceivedBytes < Header.TotalBytes)
    return Result;
  if (!Known.Dropped) {
    this->HeldBytes -= Header.TotalBytes;
    Result.Complete = std::move(Known.Value);
  }
  this->Partial.erase(Position);
  return Result;
}

} // namespace bluebellbarrow
