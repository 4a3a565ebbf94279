#include "partfetcher.h"

#include "kernel/hashing.h"

#include <algorithm>

namespace bluebellbarrow {

namespace {

/** Number of missing parts above which the bundles are read first. */
constexpr size_t BundleThreshold = 16;

constexpr size_t MaxReadsInFlight = 4;
constexpr Duration InitialRetryDelay = milliseconds(100);
constexpr Duration MaxRetryDelay = seconds(2);
constexpr int MaxDoublings = 5;

} // namespace

void PartFetcher::start(const Manifest &Content, TimePoint Now) {
  this->PendingManifest = Content;
  this->PendingVersion = computeVersionId(Content);
  this->FetchedParts.clear();
  this->InFlight.clear();
  this->BundlesRequested = false;
  this->Failures = 0;
  this->NotBefore = Now;
}

void PartFetcher::cancel() {
  this->PendingManifest.reset();
  this->PendingVersion = VersionId();
  this->FetchedParts.clear();
  this->InFlight.clear();
}

VersionId PartFetcher::pendingVersion() const { return this->PendingVersion; }

bool PartFetcher::isBundle(const Digest &Hash) const {
  return std::any_of(
      this->PendingManifest->Bundles.begin(),
      this->PendingManifest->Bundles.end(),
      [&Hash](const ManifestBundle &Bundle) { return Bundle.Hash == Hash; });
}

bool PartFetcher::addBundle(const std::string &Text) {
  const Result<PartsByDigest> Parts = parseBundle(Text);
  if (!Parts)
    return false;
  this->FetchedParts.insert(Parts.value().begin(), Parts.value().end());
  return true;
}

bool PartFetcher::onBlob(const Digest &Hash, const std::string *Text,
                         TimePoint Now) {
  if (!this->PendingManifest || this->InFlight.erase(Hash) == 0)
    return true;
  const bool Matches = Text != nullptr && computeDigest(*Text) == Hash;
  const bool IsBundle = this->isBundle(Hash);
  if (Matches && (!IsBundle || this->addBundle(*Text))) {
    if (!IsBundle)
      this->FetchedParts.emplace(Hash,
                                 std::make_shared<const std::string>(*Text));
    this->Failures = 0;
    return true;
  }
  if (!IsBundle) {
    const int Doublings = std::min(this->Failures, MaxDoublings);
    this->Failures += 1;
    this->NotBefore =
        Now +
        std::min<Duration>(InitialRetryDelay * (1 << Doublings), MaxRetryDelay);
  }
  return Text == nullptr;
}

void PartFetcher::poll(const VersionStore &Store, TimePoint Now,
                       DisseminatorActions &Actions) {
  if (!this->PendingManifest || Now < this->NotBefore)
    return;
  const std::vector<Digest> Missing =
      Store.missingParts(*this->PendingManifest, this->FetchedParts);
  if (!this->BundlesRequested && Missing.size() > BundleThreshold) {
    this->BundlesRequested = true;
    for (const ManifestBundle &Bundle : this->PendingManifest->Bundles) {
      this->InFlight.insert(Bundle.Hash);
      Actions.emplace_back(ReadBlob{.Hash = Bundle.Hash, .IsBundle = true});
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
      Actions.emplace_back(ReadBlob{.Hash = Hash});
  }
}

FullVersionPtr PartFetcher::assemble(const VersionStore &Store) const {
  if (!this->PendingManifest ||
      !Store.missingParts(*this->PendingManifest, this->FetchedParts).empty())
    return nullptr;
  return Store.assemble(*this->PendingManifest, this->FetchedParts);
}

} // namespace bluebellbarrow
