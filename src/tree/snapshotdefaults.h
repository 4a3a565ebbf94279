#ifndef BLUEBELLBARROW_TREE_SNAPSHOTDEFAULTS_H
#define BLUEBELLBARROW_TREE_SNAPSHOTDEFAULTS_H

#include "kernel/nodesettings.h"
#include "policy.h"

#include <span>
#include <vector>

namespace bluebellbarrow {

/** What is used where a tree sets nothing. */
struct SnapshotDefaults {
  Policy CallPolicy = defaultPolicy();
  SpreadPolicy Spread = defaultSpreadPolicy();
};

/**
 * Returns the keys of the sections "policy" and "spread", which a node's
 * settings may hold too. Thread safety: safe.
 */
std::vector<KeySpec> overridableKeys();

/** Returns the defaults as \a Overrides change them. Thread safety: safe. */
SnapshotDefaults
makeSnapshotDefaults(std::span<const SettingsOverride> Overrides);

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_TREE_SNAPSHOTDEFAULTS_H
