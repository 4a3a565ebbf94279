#ifndef BLUEBELLBARROW_TREECOMMANDS_H
#define BLUEBELLBARROW_TREECOMMANDS_H

#include "kernel/ids.h"

#include <cstdint>
#include <string>

namespace bluebellbarrow {

/** Prints faults of the tree in \a Directory; returns the exit code. */
int checkTree(const std::string &Directory, bool AsJson);

/** Prints effective values and their sources; returns the exit code. */
int explainTree(const std::string &Directory, const FailureDomain &Domain,
                const ServiceName &Service, const RouteName &Route,
                bool AsJson);

/** Prints the differences between two trees; returns the exit code. */
int diffTrees(const std::string &Old, const std::string &New, bool AsJson);

/**
 * Writes the values and the manifest of a version to the directory \a Out;
 * returns the exit code.
 */
int packTree(const std::string &Directory, uint64_t Version, uint64_t Parent,
             const std::string &Out);

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_TREECOMMANDS_H
