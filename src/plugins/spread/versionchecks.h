#ifndef BLUEBELLBARROW_SPREAD_VERSIONCHECKS_H
#define BLUEBELLBARROW_SPREAD_VERSIONCHECKS_H

#include "catalogstore.h"
#include "kernel/error.h"
#include "tree/snapshot.h"

#include <memory>
#include <optional>

namespace bluebellbarrow {

/**
 * Returns why \a Version is bad, or nothing. Depends on the version alone, so
 * that every node decides alike. Thread safety: safe.
 */
std::optional<Error> checkVersion(ItemKind Kind, const WholeVersion &Version);

/** Returns the spread policy of a domain. \pre checkVersion() found nothing. */
SpreadPolicy spreadPolicyOf(const WholeVersion &Config,
                            const FailureDomain &Domain);

/** Compiles a snapshot. \pre checkVersion() found nothing in either. */
std::shared_ptr<const Snapshot> compileVersions(const WholeVersion &Config,
                                                const WholeVersion &List,
                                                const FailureDomain &Domain);

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_SPREAD_VERSIONCHECKS_H
