#include "platformfetch.h"

#include "kernel/hashing.h"

#include <algorithm>

namespace bluebellbarrow {

namespace {

/** Missing parts from which on the bundles are read instead. */
constexpr size_t BundleThreshold = 16;

constexpr size_t MaxReadsInFlight = 4;
constexpr Duration FirstRetry = milliseconds(100);
constexpr Duration MaxRetry = seconds(2);
constexpr int MaxDoublings = 5;

} // namespace

void PlatformFetch::begin(const Catalog &NewWanted, TimePoint Now) {
  this->Wanted = NewWanted;
  this->Target = versionOf(NewWanted);
  this->Fetched.clear();
  this->InFlight.clear();
  this->BundlesTried = false;
  this->Failures = 0;
  this->NotBefore = Now;
}

void PlatformFetch::clear() {
  this->Wanted.reset();
  this->Target = VersionId();
  this->Fetched.clear();
  this->InFlight.clear();
}

VersionId PlatformFetch::target() const { return this->Target; }

bool PlatformFetch::isBundle(const Digest &Hash) const {
  return std::any_of(
      this->Wanted->Bundles.begin(), this->Wanted->Bundles.end(),
      [&Hash](const CatalogBundle &Each) { return Each.Hash == Hash; });
}

bool PlatformFetch::acceptBundle(const std::string &Text) {
  const Result<PartsByDigest> Parts = parseBundle(Text);
  if (!Parts)
    return false;
  this->Fetched.insert(Parts.value().begin(), Parts.value().end());
  return true;
}

bool PlatformFetch::onPart(const Digest &Hash, const std::string *Text,
                           TimePoint Now) {
  if (!this->Wanted || this->InFlight.erase(Hash) == 0)
    return true;
  const bool Matches = Text != nullptr && digestOf(*Text) == Hash;
  const bool Bundle = this->isBundle(Hash);
  if (Matches && (!Bundle || this->acceptBundle(*Text))) {
    if (!Bundle)
      this->Fetched.emplace(Hash, std::make_shared<const std::string>(*Text));
    this->Failures = 0;
    return true;
  }
  if (!Bundle) {
    const int Doublings = std::min(this->Failures, MaxDoublings);
    this->Failures += 1;
    this->NotBefore =
        Now + std::min<Duration>(FirstRetry * (1 << Doublings), MaxRetry);
  }
  return Text == nullptr;
}

void PlatformFetch::poll(const CatalogStore &Store, TimePoint Now,
                         SpreadActions &Actions) {
  if (!this->Wanted || Now < this->NotBefore)
    return;
  const std::vector<Digest> Missing =
      Store.missing(*this->Wanted, this->Fetched);
  if (!this->BundlesTried && Missing.size() > BundleThreshold) {
    this->BundlesTried = true;
    for (const CatalogBundle &Each : this->Wanted->Bundles) {
      this->InFlight.insert(Each.Hash);
      Actions.emplace_back(ReadPart{.Hash = Each.Hash, .Bundle = true});
    }
  }
  const bool BundlesPending =
      std::any_of(this->InFlight.begin(), this->InFlight.end(),
                  [this](const Digest &Hash) { return this->isBundle(Hash); });
  if (BundlesPending)
    return;
  for (const Digest &Hash : Missing) {
    if (this->InFlight.size() >= MaxReadsInFlight)
      return;
    if (this->InFlight.insert(Hash).second)
      Actions.emplace_back(ReadPart{.Hash = Hash});
  }
}

WholeVersionPtr PlatformFetch::whole(const CatalogStore &Store) const {
  if (!this->Wanted || !Store.missing(*this->Wanted, this->Fetched).empty())
    return nullptr;
  return Store.assemble(*this->Wanted, this->Fetched);
}

} // namespace bluebellbarrow
