#ifndef BLUEBELLBARROW_SPREAD_PARTFETCHER_H
#define BLUEBELLBARROW_SPREAD_PARTFETCHER_H

#include "disseminatoractions.h"
#include "versionstore.h"

#include <optional>
#include <set>
#include <string>

namespace bluebellbarrow {

/**
 * Collects the parts of a version whose manifest was read at the platform. A
 * part that is missing or does not match its digest is asked for again.
 *
 * Thread safety: none; owned by one task.
 */
class PartFetcher {
public:
  /** Starts on \a Wanted and forgets the version before. */
  void start(const Manifest &Wanted, TimePoint Now);

  /** Forgets the version. */
  void cancel();

  /** Returns the version that is being collected, or none. */
  VersionId pendingVersion() const;

  /**
   * Takes in the answer to a ReadPart; null when the platform had none.
   * Returns false for a text that does not match its digest.
   */
  bool onPart(const Digest &Hash, const std::string *Text, TimePoint Now);

  /** Appends the reads that are due. */
  void poll(const VersionStore &Store, TimePoint Now,
            DisseminatorActions &Actions);

  /** Returns the whole version once every part is there, else null. */
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
  TimePoint NotBefore;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_SPREAD_PARTFETCHER_H
