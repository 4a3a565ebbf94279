#ifndef BLUEBELLBARROW_SPREAD_PARTFETCHER_H
#define BLUEBELLBARROW_SPREAD_PARTFETCHER_H

#include "disseminatoractions.h"
#include "versionstore.h"

#include <optional>
#include <set>
#include <string>

namespace bluebellbarrow {

/**
 * Fetches the parts of a version whose manifest was read from the platform. A
 * part that is missing or does not match its digest is fetched again.
 *
 * Thread safety: none; owned by one task.
 */
class PartFetcher {
public:
  /** Starts to fetch the parts of \a Content; discards any other version. */
  void start(const Manifest &Content, TimePoint Now);

  /** Discards the pending version and its parts. */
  void cancel();

  /** Returns the version whose parts are being fetched, or none. */
  VersionId pendingVersion() const;

  /**
   * Adds the result of a ReadBlob; \a Text is null when it returned no value.
   * Returns false for a text that does not match its digest, and for a bundle
   * that can't be parsed. Ignores a blob that is not being read.
   */
  bool onBlob(const Digest &Hash, const std::string *Text, TimePoint Now);

  /** Appends the reads that are due. */
  void poll(const VersionStore &Store, TimePoint Now,
            DisseminatorActions &Actions);

  /** Returns the full version once every part is available, else null. */
  FullVersionPtr assemble(const VersionStore &Store) const;

private:
  bool isBundle(const Digest &Hash) const;
  bool addBundle(const std::string &Text);

  std::optional<Manifest> PendingManifest;
  VersionId PendingVersion;
  PartsByDigest FetchedParts;
  std::set<Digest> InFlight;
  bool BundlesRequested = false;
  int Failures = 0;

  /** No read is requested before this time. */
  TimePoint NotBefore;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_SPREAD_PARTFETCHER_H
