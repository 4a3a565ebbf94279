#ifndef BLUEBELLBARROW_KERNEL_BYTEBUDGET_H
#define BLUEBELLBARROW_KERNEL_BYTEBUDGET_H

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace bluebellbarrow {

/** What one part of the process holds for others. */
struct ByteHolder {
  std::string Name;

  /** Returns the bytes that it holds now. */
  std::function<size_t()> Count;
};

/** Bounds of a ByteBudget, in bytes. */
struct ByteLimits {
  /** What all holders together may hold. */
  size_t Total = 0;

  /** Longest message that may be held when next to nothing else is. */
  size_t Alone = 0;
};

/**
 * One account of all bytes that a process holds for others, with one bound:
 * requests, responses of targets, frames between nodes, and what callers have
 * not read. Each holder asks before it takes a long message, and the account
 * asks the holders what they hold.
 *
 * Thread safety: none; owned by one task.
 */
class ByteBudget {
public:
  explicit ByteBudget(const ByteLimits &Limits) : Limits(Limits) {}

  void setLimits(const ByteLimits &New) { this->Limits = New; }

  /** Adds a holder. \pre its Count can be called as long as the object lives.
   */
  void addHolder(ByteHolder Holder) {
    this->Holders.push_back(std::move(Holder));
  }

  const std::vector<ByteHolder> &holders() const { return this->Holders; }

  /** Returns the bytes that all holders hold. */
  size_t total() const {
    size_t Sum = 0;
    for (const ByteHolder &Holder : this->Holders)
      Sum += Holder.Count();
    return Sum;
  }

  bool isExceeded() const { return this->total() > this->Limits.Total; }

  /** Returns true if the bound is exceeded so far that nothing can wait. */
  bool isFarExceeded() const {
    return this->total() > this->Limits.Total + this->Limits.Total / 4;
  }

  /**
   * Returns true if \a Bytes more may be held beside \a Expected ones that are
   * not there yet, or if next to nothing else is held and they are no longer
   * than a single message may be.
   */
  bool fits(size_t Bytes, size_t Expected = 0) const {
    const size_t Held = this->total() + Expected;
    return Held + Bytes <= this->Limits.Total ||
           (Held <= AlwaysFreeBytes && Bytes <= this->Limits.Alone);
  }

  /** Returns true if a message of \a Bytes, which is held, must not grow. */
  bool mustEnd(size_t Bytes) const {
    if (!this->isExceeded())
      return false;
    return Bytes > this->Limits.Alone ||
           this->total() - Bytes > AlwaysFreeBytes;
  }

  /** Bytes that count as next to nothing: those of a few short calls. */
  static constexpr size_t AlwaysFreeBytes = size_t{256} * 1024;

private:
  ByteLimits Limits;
  std::vector<ByteHolder> Holders;
};

/**
 * Returns the bounds on a VM whose settings give the process \a MemoryBytes, 0
 * for unknown; \a ConfiguredMax is limits.max-held. The rest is for what is
 * being moved, connections, control and short calls. Thread safety: safe.
 */
inline ByteLimits byteLimits(size_t MemoryBytes, size_t ConfiguredMax) {
  constexpr size_t HeldShare = 8;
  const size_t Share = MemoryBytes / HeldShare;
  const bool IsBoundByMemory = MemoryBytes > 0 && Share < ConfiguredMax;
  return {.Total = IsBoundByMemory ? Share : ConfiguredMax,
          .Alone = ConfiguredMax};
}

/**
 * Returns the connections of callers that are accepted by a process with
 * \a Descriptors file descriptors, 0 for unknown. The others are for files,
 * peers and the target. Thread safety: safe.
 */
inline size_t maxCallerConnections(size_t Descriptors) {
  constexpr size_t Most = 3000;
  constexpr size_t FileDescriptors = 200;
  constexpr size_t Least = 16;
  if (Descriptors == 0)
    return Most;
  const size_t ForSockets =
      Descriptors > FileDescriptors ? Descriptors - FileDescriptors : 0;
  const size_t ForCallers = ForSockets / 4 * 3;
  return ForCallers < Least ? Least : ForCallers > Most ? Most : ForCallers;
}

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_BYTEBUDGET_H
