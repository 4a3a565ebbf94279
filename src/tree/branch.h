#ifndef BLUEBELLBARROW_TREE_BRANCH_H
#define BLUEBELLBARROW_TREE_BRANCH_H

#include "kernel/error.h"
#include "kernel/ids.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace bluebellbarrow {

/** What a branch refines, from general to particular. */
enum class BranchKind {
  Mesh,
  Domain,
  Service,

  /** A part of a service's routes, where it has many. */
  RouteGroup,

  DomainService,
};

/** One key that a branch overrides. */
struct FieldOverride {
  /** Index into policyFields(), spreadFields() or limitFields(). */
  size_t Field = 0;

  /** The value as written. */
  std::string Text;

  /** The value in the base unit of its type. */
  double NumericValue = 0;

  int Line = 0;
};

/** A part of a route's requests that goes to one service. */
struct WeightedService {
  ServiceName Service;

  /** Size of the part, relative to the other parts of the route. */
  double Weight = 0;
};

/** A route, or the refinement of one by a place. */
struct RouteDefinition {
  RouteName Name;

  /** Host that requests must name, in lower case; empty for any. */
  std::string Host;

  /** Method of the requests; empty for any. */
  std::string Method;

  std::string PathPrefix;

  /** Services that share the requests; empty for the branch's own. */
  std::vector<WeightedService> WeightedServices;

  /** Services that the route's target calls. */
  std::vector<ServiceName> Dependencies;

  std::vector<FieldOverride> PolicyOverrides;

  /** Line of the key "match" or "calls", for messages. */
  int Line = 0;
};

/** One file of a tree of settings, checked by itself. */
struct Branch {
  /** Path without ending, for example "service/seating". */
  std::string Path;

  BranchKind Kind = BranchKind::Mesh;
  FailureDomain Domain;
  ServiceName Service;

  /** Name of the mesh; only in the branch "mesh". */
  std::string MeshName;

  std::vector<FieldOverride> PolicyOverrides;
  std::vector<FieldOverride> SpreadOverrides;
  std::vector<FieldOverride> LimitOverrides;
  std::vector<RouteDefinition> Routes;
};

/**
 * Parses the branch at \a Path.
 *
 * Errors: a path or a key that has no place, with file, line and key.
 * Thread safety: safe.
 */
Result<Branch> parseBranch(const std::string &Path, std::string_view Text);

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_TREE_BRANCH_H
