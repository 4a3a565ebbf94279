#ifndef BLUEBELLBARROW_KERNEL_HASHINDEX_H
#define BLUEBELLBARROW_KERNEL_HASHINDEX_H

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

namespace bluebellbarrow {

/**
 * Finds values by a 64-bit hash of their key: a sorted array, built once, that
 * holds no copies of keys. Of values with equal keys the first one added is
 * found.
 *
 * Thread safety: none while it is built, then immutable and safe.
 */
template <typename T> class HashIndex {
public:
  void reserve(size_t Count) { this->Entries.reserve(Count); }

  /** Adds a value. \pre finish() was not called. */
  void add(uint64_t Hash, T Value) {
    this->Entries.emplace_back(Hash, std::move(Value));
  }

  /** Makes the values findable. */
  void build() {
    std::stable_sort(
        this->Entries.begin(), this->Entries.end(),
        [](const Entry &A, const Entry &B) { return A.first < B.first; });
  }

  /** Returns the first value under \a Hash that \a Matches, or null. */
  template <typename Predicate>
  const T *find(uint64_t Hash, Predicate Matches) const {
    auto Each = std::lower_bound(
        this->Entries.begin(), this->Entries.end(), Hash,
        [](const Entry &A, uint64_t Wanted) { return A.first < Wanted; });
    for (; Each != this->Entries.end() && Each->first == Hash; ++Each)
      if (Matches(Each->second))
        return &Each->second;
    return nullptr;
  }

  /** Returns whether two values may have the same key. */
  bool hasDuplicateHashes() const {
    return std::adjacent_find(this->Entries.begin(), this->Entries.end(),
                              [](const Entry &A, const Entry &B) {
                                return A.first == B.first;
                              }) != this->Entries.end();
  }

private:
  using Entry = std::pair<uint64_t, T>;

  std::vector<Entry> Entries;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_HASHINDEX_H
