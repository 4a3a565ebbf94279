#ifndef BLUEBELLBARROW_TREE_BRANCHPATH_H
#define BLUEBELLBARROW_TREE_BRANCHPATH_H

#include "kernel/ids.h"

#include <optional>
#include <string>
#include <string_view>

namespace bluebellbarrow {

/** Path of the branch that every other one inherits from. */
inline constexpr const char *MeshPath = "mesh";

/**
 * Returns a name as paths, sections and lists of a settings tree hold it:
 * percent-encoded, so that any text may be a name. Thread safety: safe.
 */
std::string encodeName(std::string_view Name);

/**
 * Returns the name that \a Encoded stands for; nullopt unless \a Encoded is
 * what encodeName() returns for it, so that a name has one spelling, and for
 * the empty name. Thread safety: safe.
 */
std::optional<std::string> decodeName(std::string_view Encoded);

/** Returns the path of a failure domain's branch. Thread safety: safe. */
std::string domainPath(const FailureDomain &Domain);

/** Returns the path of a service's branch. Thread safety: safe. */
std::string servicePath(const ServiceName &Service);

/** Returns the path of a group of a service's routes. Thread safety: safe. */
std::string routeGroupPath(const ServiceName &Service, std::string_view Group);

/** Returns the path of a service in a domain. Thread safety: safe. */
std::string domainServicePath(const FailureDomain &Domain,
                              const ServiceName &Service);

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_TREE_BRANCHPATH_H
