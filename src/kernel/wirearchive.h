#ifndef BLUEBELLBARROW_KERNEL_WIREARCHIVE_H
#define BLUEBELLBARROW_KERNEL_WIREARCHIVE_H

#include <cereal/cereal.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

#include <bit>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>
#include <type_traits>

namespace bluebellbarrow {

static_assert(std::endian::native == std::endian::little,
              "the wire format is little-endian");

/** A cereal archive that appends to a string; sizes have four bytes. */
class WireOutputArchive : public cereal::OutputArchive<WireOutputArchive> {
public:
  explicit WireOutputArchive(std::string &Out)
      : cereal::OutputArchive<WireOutputArchive>(this), Out(Out) {}

  void saveBinary(const void *Data, size_t Size) {
    this->Out.append(static_cast<const char *>(Data), Size);
  }

private:
  std::string &Out;
};

/**
 * A cereal archive that reads untrusted bytes: each size is checked against
 * the remaining bytes before memory is allocated.
 *
 * Errors: throws cereal::Exception; decode() then returns false.
 */
class WireInputArchive : public cereal::InputArchive<WireInputArchive> {
public:
  explicit WireInputArchive(std::string_view In)
      : cereal::InputArchive<WireInputArchive>(this), In(In) {}

  void loadBinary(void *Data, size_t Size) {
    this->require(Size);
    std::memcpy(Data, this->In.data(), Size);
    this->In.remove_prefix(Size);
  }

  /** Throws unless at least \a Size bytes remain. */
  void require(size_t Size) const {
    if (Size > this->In.size())
      throw cereal::Exception("value exceeds the remaining bytes");
  }

  bool atEnd() const { return this->In.empty(); }

private:
  std::string_view In;
};

template <typename T>
concept WireNumber = std::is_arithmetic_v<T>;

template <WireNumber T> void save(WireOutputArchive &Ar, const T &Value) {
  Ar.saveBinary(&Value, sizeof(Value));
}

template <WireNumber T> void load(WireInputArchive &Ar, T &Value) {
  Ar.loadBinary(&Value, sizeof(Value));
}

/** Throws for a byte that is neither 0 nor 1. */
inline void load(WireInputArchive &Ar, bool &Value) {
  uint8_t Byte = 0;
  Ar.loadBinary(&Byte, sizeof(Byte));
  if (Byte > 1)
    throw cereal::Exception("boolean is neither 0 nor 1");
  Value = Byte == 1;
}

template <typename T>
void save(WireOutputArchive &Ar, const cereal::SizeTag<T> &Tag) {
  const auto Size = static_cast<uint32_t>(Tag.size);
  Ar.saveBinary(&Size, sizeof(Size));
}

template <typename T> void load(WireInputArchive &Ar, cereal::SizeTag<T> &Tag) {
  uint32_t Size = 0;
  Ar.loadBinary(&Size, sizeof(Size));
  Ar.require(Size);
  Tag.size = Size;
}

template <typename T>
void save(WireOutputArchive &Ar, const cereal::BinaryData<T> &Data) {
  Ar.saveBinary(Data.data, static_cast<size_t>(Data.size));
}

template <typename T>
void load(WireInputArchive &Ar, cereal::BinaryData<T> &Data) {
  Ar.loadBinary(Data.data, static_cast<size_t>(Data.size));
}

/** Returns \a Value in the wire format. Thread safety: safe. */
template <typename T> std::string encode(const T &Value) {
  std::string Out;
  WireOutputArchive Archive(Out);
  Archive(Value);
  return Out;
}

/**
 * Decodes \a Bytes into \a Value. Returns false unless the bytes are exactly
 * one value; \a Value is then unspecified. Thread safety: safe.
 */
template <typename T>
[[nodiscard]] bool decode(std::string_view Bytes, T &Value) {
  try {
    WireInputArchive Archive(Bytes);
    Archive(Value);
    return Archive.atEnd();
  } catch (const cereal::Exception &) {
    return false;
  }
}

} // namespace bluebellbarrow

CEREAL_REGISTER_ARCHIVE(bluebellbarrow::WireOutputArchive)
CEREAL_REGISTER_ARCHIVE(bluebellbarrow::WireInputArchive)
CEREAL_SETUP_ARCHIVE_TRAITS(bluebellbarrow::WireInputArchive,
                            bluebellbarrow::WireOutputArchive)

#endif // BLUEBELLBARROW_KERNEL_WIREARCHIVE_H
