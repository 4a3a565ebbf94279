#ifndef BLUEBELLBARROW_SPREAD_PLATFORMFETCH_H
#define BLUEBELLBARROW_SPREAD_PLATFORMFETCH_H

#include "catalogstore.h"
#include "spreadactions.h"

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
class PlatformFetch {
public:
  /** Starts on \a Wanted and forgets the version before. */
  void begin(const Catalog &Wanted, TimePoint Now);

  /** Forgets the version. */
  void clear();

  /** Returns the version that is being collected, or none. */
  VersionId target() const;

  /**
   * Takes in the answer to a ReadPart; null when the platform had none.
   * Returns false for a text that does not match its digest.
   */
  bool onPart(const Digest &Hash, const std::string *Text, TimePoint Now);

  /** Appends the reads that are due. */
  void poll(const CatalogStore &Store, TimePoint Now, SpreadActions &Actions);

  /** Returns the whole version once every part is there, else null. */
  WholeVersionPtr whole(const CatalogStore &Store) const;

private:
  bool isBundle(const Digest &Hash) const;
  bool acceptBundle(const std::string &Text);

  std::optional<Catalog> Wanted;
  VersionId Target;
  PartsByDigest Fetched;
  std::set<Digest> InFlight;
  bool BundlesTried = false;
  int Failures = 0;
  TimePoint NotBefore;
};

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_SPREAD_PLATFORMFETCH_H
