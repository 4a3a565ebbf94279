#ifndef BLUEBELLBARROW_KERNEL_HASHINDEX_H
#define BLUEBELLBARROW_KERNEL_HASHINDEX_H

#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

namespace bluebellbarrow {

/**
 * Finds values by a 64-bit hash of their key, in an array that build() sorts
 * once. Holds no copies of the keys. Among values with equal keys, find()
 * returns the one that was added first.
 *
 * Thread safety: none until build() returns, then immutable and safe.
 */
template <typename T> class HashIndex {
public:
  void reserve(size_t Count) { this->Entries.reserve(Count); }

  /** Adds a value. \pre build() was not called. */
  void add(uint64_t Hash, T Value) {
    this->Entries.emplace_back(Hash, std::move(Value));
  }

  /** Sorts the values, so that find() may be called. */
  void build() {
    std::stable_sort(this->Entries.begin(), this->Entries.end(),
                     [](const Entry &Left, const Entry &Right) {
                       return Left.first < Right.first;
                     });
  }

  /**
   * Returns the first value with hash \a Hash for which \a Matches returns
   * true, or null. \pre build() was called.
   */
  template <typename Predicate>
  const T *find(uint64_t Hash, Predicate Matches) const {
    auto Candidate = std::lower_bound(
        this->Entries.begin(), this->Entries.end(), Hash,
        [](const Entry &Item, uint64_t Wanted) { return Item.first < Wanted; });
    for (; Candidate != this->Entries.end() && Candidate->first == Hash;
         ++Candidate)
      if (Matches(Candidate->second))
        return &Candidate->second;
    return nullptr;
  }

  /**
   * Returns true when two values have the same hash, and so may have the same
   * key. \pre build() was called.
   */
  bool hasDuplicateHashes() const {
    return std::adjacent_find(this->Entries.begin(), this->Entries.end(),
                              [](const Entry &Left, const Entry &Right) {
                                return Left.first == Right.first;
                              }) != this->Entries.end();
  }

private:
  using Entry = std::pair<uint64_t, T>;

  std::vector<Entry> Entries;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_KERNEL_HASHINDEX_H
