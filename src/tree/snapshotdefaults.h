#ifndef BLUEBELLBARROW_TREE_SNAPSHOTDEFAULTS_H
#define BLUEBELLBARROW_TREE_SNAPSHOTDEFAULTS_H

#include "kernel/nodesettings.h"
#include "policy.h"

#include <span>
#include <vector>

namespace bluebellbarrow {

/** Values that apply where a settings tree sets none. */
struct SnapshotDefaults {
  Policy CallPolicy = defaultPolicy();
  SpreadPolicy Spread = defaultSpreadPolicy();
};

/**
 * Returns the keys of the sections "policy" and "spread", which a node's
 * settings may also set. Thread safety: safe.
 */
std::vector<KeySpec> overridableKeys();

/** Returns the defaults with \a Overrides applied. Thread safety: safe. */
SnapshotDefaults
makeSnapshotDefaults(std::span<const SettingsOverride> Overrides);

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_TREE_SNAPSHOTDEFAULTS_H
