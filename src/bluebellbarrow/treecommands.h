#ifndef BLUEBELLBARROW_TREECOMMANDS_H
#define BLUEBELLBARROW_TREECOMMANDS_H

#include "kernel/ids.h"

#include <cstdint>
#include <string>

namespace bluebellbarrow {

/** Prints the faults of the tree in \a Directory; returns the exit code. */
int checkTree(const std::string &Directory, bool AsJson);

/**
 * Prints the effective values of a service, or of \a Route if it is not empty,
 * and the branch that sets each; returns the exit code.
 */
int explainTree(const std::string &Directory, const FailureDomain &Domain,
                const ServiceName &Service, const RouteName &Route,
                bool AsJson);

/**
 * Prints the differences between the trees in the directories \a Old and
 * \a New; returns the exit code.
 */
int diffTrees(const std::string &Old, const std::string &New, bool AsJson);

/**
 * Writes the parts, the bundles and the manifest of a version to the directory
 * \a Out; returns the exit code.
 */
int packTree(const std::string &Directory, uint64_t Version, uint64_t Parent,
             const std::string &Out);

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_TREECOMMANDS_H
