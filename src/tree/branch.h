#ifndef BLUEBELLBARROW_TREE_BRANCH_H
#define BLUEBELLBARROW_TREE_BRANCH_H

#include "kernel/error.h"
#include "kernel/ids.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace bluebellbarrow {

/** Scope of a branch, from the most general to the most specific. */
enum class BranchKind {
  Mesh,
  Domain,
  Service,

  /** A group of a service's routes, for services with many routes. */
  RouteGroup,

  DomainService,
};

/** One value that a branch or a route sets in place of the inherited one. */
struct FieldOverride {
  /** Index into policyFields(), spreadFields() or limitFields(). */
  size_t Field = 0;

  /** The value as written in the file. */
  std::string Text;

  /** The value in the base unit of its type; 0 for a text. */
  double NumericValue = 0;

  int Line = 0;
};

/** A service that receives a weighted part of a route's requests. */
struct WeightedService {
  ServiceName Service;

  /** Share of the requests, relative to the other weights of the route. */
  double Weight = 0;
};

/** A route, or the overrides of a route in one failure domain. */
struct RouteDefinition {
  RouteName Name;

  /** Host that requests must name, in lower case; empty for any. */
  std::string Host;

  /** Method of the requests; empty for any. */
  std::string Method;

  /** Prefix of whole path segments; empty in the overrides for a domain. */
  std::string PathPrefix;

  /** Services that share the requests; empty for the branch's service. */
  std::vector<WeightedService> WeightedServices;

  /** Services that the route's target calls. */
  std::vector<ServiceName> Dependencies;

  std::vector<FieldOverride> PolicyOverrides;

  /**
   * Line for error messages: that of the last key that is not a policy key, or
   * of the first policy key if there is no other.
   */
  int Line = 0;
};

/**
 * One file of a settings tree. Its keys and values are checked; references to
 * other branches are checked by SettingsTree.
 */
struct Branch {
  /** Path without extension, for example "service/seating". */
  std::string Path;

  BranchKind Kind = BranchKind::Mesh;

  /** Empty unless the kind is Domain or DomainService. */
  FailureDomain Domain;

  /** Empty if the kind is Mesh or Domain. */
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
 * Errors: an invalid path, or the first invalid section, key or value, with
 * file, line and key.
 * Thread safety: safe.
 */
Result<Branch> parseBranch(const std::string &Path, std::string_view Text);

} // namespace bluebellbarrow

#endif // BLUEBELLBARROW_TREE_BRANCH_H
